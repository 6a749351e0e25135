package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.NodeId;

/** Until when this node may start and continue the tasks of each origin's jobs. */
public interface OriginAuthority {
    /** The end of an authority that this node never had; leaves room for differences of times. */
    long NEVER = Long.MIN_VALUE / 2;

    /** Returns until when tasks of an origin's jobs may start, on the steady clock in milliseconds. */
    long endsAtMillis(NodeId origin);

    /**
     * Returns until when leases may be extended for runs of an origin's jobs, on the steady clock in milliseconds.
     */
    long runsEndAtMillis(NodeId origin);

    /**
     * Called when the clock of an endpoint shows that this node's steady clock stood still, so that any authority may
     * have ended already.
     *
     * @param sinceMillis when the clock of the endpoint was last read, on the steady clock
     * @param stoppedMillis how long the steady clock stood still at least, in milliseconds
     */
    void clockStoodStill(long sinceMillis, long stoppedMillis);
}
