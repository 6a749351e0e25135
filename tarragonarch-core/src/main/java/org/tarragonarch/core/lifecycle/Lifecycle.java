package org.tarragonarch.core.lifecycle;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.report.NodePhase;

/**
 * Takes a node through its phases, from start to leaving.
 *
 * <p>A leaving node first says that it is not ready and still takes work, because the balancer needs a while to hear of
 * it and sends callers until then; refusing at once would fail them. Then it finishes what it has. Not safe for use by
 * several threads.
 */
public final class Lifecycle {
    private final NodePolicy policy;
    private NodePhase phase = NodePhase.STARTING;
    private long drainStartedNanos;

    private Lifecycle(NodePolicy policy) {
        this.policy = checkNotNull(policy, "policy");
    }

    /** Returns the lifecycle of a node that has just started. */
    public static Lifecycle create(NodePolicy policy) {
        return new Lifecycle(policy);
    }

    /** Returns the phase. */
    public NodePhase phase() {
        return phase;
    }

    /** Starts serving, if the node was only waiting for what it needs to do so. */
    public void startServing(ActionSink sink) {
        if (phase == NodePhase.STARTING) {
            enter(NodePhase.SERVING, "configuration and endpoints are known", sink);
        }
    }

    /** Starts to leave; a node that leaves already goes on as it was. */
    public void drain(String reason, long nowNanos, ActionSink sink) {
        if (phase == NodePhase.STARTING) {
            enter(NodePhase.LEFT, reason, sink);
        } else if (phase == NodePhase.SERVING) {
            drainStartedNanos = nowNanos;
            enter(NodePhase.DRAINING, reason, sink);
        }
    }

    /** Goes on to the next phase when it is time; {@code idle} is whether nothing is left to do. */
    public void timePassed(boolean idle, long nowNanos, ActionSink sink) {
        if (phase == NodePhase.DRAINING && nowNanos >= finishingAt()) {
            enter(NodePhase.FINISHING, "the drain delay is over", sink);
        }
        if (phase == NodePhase.FINISHING && idle) {
            enter(NodePhase.LEFT, "all work is done", sink);
        }
    }

    /** Returns whether the drain deadline has passed, so that what is left must be cut. */
    public boolean isDrainDeadlinePassed(long nowNanos) {
        return phase == NodePhase.FINISHING && nowNanos >= cutAt();
    }

    /** Returns when {@link #timePassed} is next due; {@code Long.MAX_VALUE} for never. */
    public long nextWakeNanos() {
        return switch (phase) {
            case DRAINING -> finishingAt();
            case FINISHING -> cutAt();
            default -> Long.MAX_VALUE;
        };
    }

    private long finishingAt() {
        return drainStartedNanos + policy.drainDelay().toNanos();
    }

    private long cutAt() {
        return finishingAt() + policy.drainDeadline().toNanos();
    }

    private void enter(NodePhase next, String reason, ActionSink sink) {
        phase = next;
        sink.emit(new PhaseChanged(next, reason));
    }
}
