package org.tarragonarch.core.action;

import org.tarragonarch.model.report.NodePhase;

/**
 * The node has entered a phase, which determines its readiness; the process may exit once the phase is {@code LEFT}.
 *
 * @param phase the phase
 * @param reason the reason for the change, for the log
 */
public record PhaseChanged(NodePhase phase, String reason) implements Action {}
