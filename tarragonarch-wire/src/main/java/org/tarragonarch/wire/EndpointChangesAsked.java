package org.tarragonarch.wire;

/**
 * Asks a peer for the endpoints whose entries have changed, because this node cannot read them from the store.
 *
 * @param sinceVersion the store's version as of which this node knows the entries; 0 if it knows none
 */
public record EndpointChangesAsked(long sinceVersion) implements Frame {}
