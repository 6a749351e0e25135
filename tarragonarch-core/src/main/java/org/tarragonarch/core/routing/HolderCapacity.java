package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The free room of the holder of another failure domain, as estimated by this node.
 *
 * @param holder the holder
 * @param freeMilliCores the free processor time in its last status, less what this node has offered it since then,
 *     in thousandths of a core
 */
public record HolderCapacity(Holder holder, long freeMilliCores) {
    /** Checks for null. */
    public HolderCapacity {
        checkNotNull(holder, "holder");
    }
}
