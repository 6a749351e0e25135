package org.tarragonarch.core.cluster;

/** How up to date a node needs the list of endpoints. */
public enum EndpointListNeed {
    /** It holds no shard and is not about to. */
    SELDOM(false),
    /** It holds a shard, would be the next to, or misses a holder. */
    OFTEN(true),
    /** It has claimed a shard since the list was read, and has to know which endpoints the earlier holder may use. */
    NOW(true);

    private final boolean isReadOften;

    EndpointListNeed(boolean often) {
        this.isReadOften = often;
    }

    /** Returns whether the list is to be read often from now on. */
    public boolean isReadOften() {
        return isReadOften;
    }
}
