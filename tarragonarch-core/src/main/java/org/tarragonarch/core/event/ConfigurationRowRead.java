package org.tarragonarch.core.event;

import java.util.Optional;
import org.tarragonarch.model.platform.ConfigurationRow;

/**
 * The configuration row was read; the read may be stale.
 *
 * @param row the row; empty if no configuration has been accepted yet
 */
public record ConfigurationRowRead(Optional<ConfigurationRow> row) implements Event {}
