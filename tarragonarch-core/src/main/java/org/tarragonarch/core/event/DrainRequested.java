package org.tarragonarch.core.event;

/**
 * The node must leave: finish what it has and take nothing new.
 *
 * @param reason who asked, for the log
 */
public record DrainRequested(String reason) implements Event {}
