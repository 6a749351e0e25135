package org.tarragonarch.wire;

/** Asks a peer for the nodes that it knows and their addresses. */
public record NodesAsked() implements Frame {}
