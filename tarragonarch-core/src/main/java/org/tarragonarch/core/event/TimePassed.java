package org.tarragonarch.core.event;

/** Time has passed; the node looks for what is due. */
public record TimePassed() implements Event {}
