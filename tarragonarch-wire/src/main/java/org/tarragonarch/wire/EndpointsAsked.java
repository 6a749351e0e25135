package org.tarragonarch.wire;

/** Asks a peer which endpoints it knows. */
public record EndpointsAsked() implements Frame {}
