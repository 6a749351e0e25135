package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The free capacity of the holder of another failure domain, as estimated by this node.
 *
 * @param freeMilliCores the free processor time in the holder's last status, less what this node has offered the
 *     holder since then, in thousandths of a core
 */
public record HolderCapacity(Holder holder, long freeMilliCores) {
    /**
     * Creates an estimate.
     *
     * @throws NullPointerException if the holder is null
     */
    public HolderCapacity {
        checkNotNull(holder, "holder");
    }
}
