package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.report.EndpointLoad;

/**
 * The loads in one report.
 *
 * @param loads the loads of the listed endpoints
 * @param full whether endpoints that are not listed have nothing in flight
 */
record LoadUpdate(ImmutableList<EndpointLoad> loads, boolean full) {
    /** An update that changes no load. */
    static final LoadUpdate NONE = new LoadUpdate(ImmutableList.of(), false);
}
