package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.report.EndpointLoad;

/**
 * What one report says of loads.
 *
 * @param loads the loads named
 * @param full whether endpoints that are not named have nothing in flight
 */
record LoadUpdate(ImmutableList<EndpointLoad> loads, boolean full) {
    /** Reports nothing, and takes nothing back. */
    static final LoadUpdate NONE = new LoadUpdate(ImmutableList.of(), false);
}
