package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/**
 * Determines when a node repeats the latest cancellations to the holders.
 *
 * <p>Guards against a holder that starts a cancelled job because the node that took the cancellation was cut off from
 * it, and was lost before it could repeat the cancellation itself. The nodes that the cancellation has reached repeat
 * it once they see a connection close or another holder.
 */
public final class CancellationRepeats {
    /** The time between two repetitions, which bounds their cost while connections break in series. */
    static final long MIN_INTERVAL_MILLIS = 200;

    private ImmutableSet<NodeId> lastHolders = ImmutableSet.of();
    private boolean isPending;
    private long repeatedAtMillis = -MIN_INTERVAL_MILLIS;

    /** Creates an instance that knows of no holders. */
    public CancellationRepeats() {}

    /** Records that a connection with a peer has closed. */
    public void connectionLost() {
        isPending = true;
    }

    /**
     * Returns the holders to which the cancellations are repeated now; to be called a few times a second.
     *
     * @param statuses the last statuses of the reachable holders
     * @param nowMillis the present time on the steady clock
     */
    public ImmutableSet<NodeId> takeDue(ImmutableList<NodeStatus> statuses, long nowMillis) {
        ImmutableSet<NodeId> holders = statuses.stream().map(NodeStatus::node).collect(ImmutableSet.toImmutableSet());
        isPending |= !holders.equals(lastHolders);
        lastHolders = holders;
        if (!isPending || nowMillis < repeatedAtMillis + MIN_INTERVAL_MILLIS) {
            return ImmutableSet.of();
        }
        isPending = false;
        repeatedAtMillis = nowMillis;
        return holders;
    }
}
