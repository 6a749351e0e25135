package org.tarragonarch.core.action;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.PeerReport;

/**
 * Send a report to a peer; it may be lost.
 *
 * @param peer the peer
 * @param address the address at which it listens
 * @param report the report
 */
public record SendReport(NodeId peer, Address address, PeerReport report) implements Action {}
