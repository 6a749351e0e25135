package org.tarragonarch.core.cluster;

/** How recent a list of endpoints a node needs. */
public enum EndpointListNeed {
    /** The node holds no shard and is not about to claim one. */
    SELDOM(false),
    /** The node holds a shard, is the successor of a holder, or a shard of its pool has no reachable holder. */
    OFTEN(true),
    /** The node has claimed a shard since the list was read, and must know which endpoints the last holder may use. */
    NOW(true);

    private final boolean isReadOften;

    EndpointListNeed(boolean often) {
        this.isReadOften = often;
    }

    /**
     * Returns the need of a node.
     *
     * @param readSinceClaims whether the list was read since the node claimed its shards
     * @param mayHold whether the node holds a shard, or may claim one soon
     */
    static EndpointListNeed of(boolean readSinceClaims, boolean mayHold) {
        if (!readSinceClaims) {
            return NOW;
        }
        return mayHold ? OFTEN : SELDOM;
    }

    /** Returns this need, or {@link #OFTEN} if it is less. */
    public EndpointListNeed atLeastOften() {
        return this == SELDOM ? OFTEN : this;
    }

    /** Returns whether the list is read at the short interval. */
    public boolean isReadOften() {
        return isReadOften;
    }
}
