package org.tarragonarch.core.event;

/**
 * The node must leave: it finishes its current work and accepts no new work.
 *
 * @param reason the origin of the request, for the log
 */
public record DrainRequested(String reason) implements Event {}
