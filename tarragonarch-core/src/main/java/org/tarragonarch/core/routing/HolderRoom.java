package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The holder of another failure domain that has room.
 *
 * @param holder the holder
 * @param freeMilliCores its free processor time by its last status, less what this node has offered it since, in
 *     thousandths of a core
 */
public record RoomyHolder(Holder holder, long freeMilliCores) {
    /** Checks the parts. */
    public RoomyHolder {
        checkNotNull(holder, "holder");
    }
}
