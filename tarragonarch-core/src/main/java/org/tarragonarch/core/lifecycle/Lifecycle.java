package org.tarragonarch.core.lifecycle;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.report.NodePhase;

/**
 * The phases of a node, from start to leaving.
 *
 * <p>A leaving node first reports that it is not ready but still accepts work, because the load balancer takes a while
 * to notice and sends requests until then, which would fail if refused. After that the node finishes the work it has.
 *
 * <p>Not safe for use by several threads.
 */
public final class Lifecycle {
    private final NodePolicy policy;
    private NodePhase phase = NodePhase.STARTING;
    private long drainStartedNanos;

    private Lifecycle(NodePolicy policy) {
        this.policy = checkNotNull(policy, "policy");
    }

    /** Returns the lifecycle of a node in phase {@link NodePhase#STARTING}. */
    public static Lifecycle create(NodePolicy policy) {
        return new Lifecycle(policy);
    }

    /** Returns the current phase. */
    public NodePhase phase() {
        return phase;
    }

    /** Starts serving once configuration and endpoints are known; has no effect in later phases. */
    public void startServing(ActionSink sink) {
        if (phase == NodePhase.STARTING) {
            enter(NodePhase.SERVING, "configuration and endpoints are known", sink);
        }
    }

    /** Starts to leave; has no effect on a node that is already leaving. */
    public void drain(String reason, long nowNanos, ActionSink sink) {
        if (phase == NodePhase.STARTING) {
            enter(NodePhase.LEFT, reason, sink);
        } else if (phase == NodePhase.SERVING) {
            drainStartedNanos = nowNanos;
            enter(NodePhase.DRAINING, reason, sink);
        }
    }

    /**
     * Enters the next phase if it is due.
     *
     * @param idle whether the node has no work left
     */
    public void timePassed(boolean idle, long nowNanos, ActionSink sink) {
        if (phase == NodePhase.DRAINING && nowNanos >= finishingNanos()) {
            enter(NodePhase.FINISHING, "the drain delay is over", sink);
        }
        if (phase == NodePhase.FINISHING && idle) {
            enter(NodePhase.LEFT, "all work is done", sink);
        }
    }

    /** Returns whether the drain deadline has passed, so that the remaining work must be aborted. */
    public boolean isDrainDeadlinePassed(long nowNanos) {
        return phase == NodePhase.FINISHING && nowNanos >= drainDeadlineNanos();
    }

    /** Returns when {@link #timePassed} is next due; {@code Long.MAX_VALUE} if it is not. */
    public long nextWakeNanos() {
        return switch (phase) {
            case DRAINING -> finishingNanos();
            case FINISHING -> drainDeadlineNanos();
            default -> Long.MAX_VALUE;
        };
    }

    private long finishingNanos() {
        return drainStartedNanos + policy.drainDelay().toNanos();
    }

    private long drainDeadlineNanos() {
        return finishingNanos() + policy.drainDeadline().toNanos();
    }

    private void enter(NodePhase next, String reason, ActionSink sink) {
        phase = next;
        sink.emit(new PhaseChanged(next, reason));
    }
}
