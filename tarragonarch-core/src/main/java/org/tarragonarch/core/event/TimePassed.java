package org.tarragonarch.core.event;

/** Time has passed; the node does the work that is due. */
public record TimePassed() implements Event {}
