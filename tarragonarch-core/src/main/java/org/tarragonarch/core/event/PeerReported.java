package org.tarragonarch.core.event;

import org.tarragonarch.model.report.PeerReport;

/**
 * A report arrived from another node.
 *
 * @param report the report
 */
public record PeerReported(PeerReport report) implements Event {}
