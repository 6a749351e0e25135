package org.tarragonarch.wire;

/** Asks a peer for the endpoints that it knows. */
public record EndpointsAsked() implements Frame {}
