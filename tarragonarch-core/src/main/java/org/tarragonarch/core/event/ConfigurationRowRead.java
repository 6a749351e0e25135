package org.tarragonarch.core.event;

import java.util.Optional;
import org.tarragonarch.model.platform.ConfigurationRow;

/**
 * The configuration row was read; the read may be stale.
 *
 * @param row the row, or nothing if no configuration was accepted yet
 */
public record ConfigurationRowRead(Optional<ConfigurationRow> row) implements Event {}
