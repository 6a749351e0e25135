package org.tarragonarch.core.event;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.VmRecord;

/**
 * The platform's VM list was read; it lags behind the actual state.
 *
 * @param vms every VM of the list
 */
public record VmListRead(ImmutableList<VmRecord> vms) implements Event {}
