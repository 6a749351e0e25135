package org.tarragonarch.core.event;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.platform.VmRecord;

/**
 * The platform's list of VMs was read; it lags behind reality.
 *
 * @param vms every VM of the list
 */
public record VmListRead(ImmutableList<VmRecord> vms) implements Event {}
