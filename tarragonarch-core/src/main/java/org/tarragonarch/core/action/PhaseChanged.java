package org.tarragonarch.core.action;

import org.tarragonarch.model.report.NodePhase;

/**
 * The node has entered a phase; readiness follows it, and the process may exit once it is {@code LEFT}.
 *
 * @param phase the phase
 * @param reason why, for the log
 */
public record PhaseChanged(NodePhase phase, String reason) implements Action {}
