package org.tarragonarch.entry.control;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.report.NodePhase;

/** How far the node is on its way, as the core last said; set by the control thread, read by any. */
public final class Readiness {
    private final CountDownLatch left = new CountDownLatch(1);
    private volatile NodePhase phase = NodePhase.STARTING;

    private Readiness() {}

    /** Returns the readiness of a node that has just started. */
    public static Readiness create() {
        return new Readiness();
    }

    /** Records a new phase. */
    public void enter(NodePhase next) {
        phase = next;
        if (next == NodePhase.LEFT) {
            left.countDown();
        }
    }

    /** Returns the phase. */
    public NodePhase phase() {
        return phase;
    }

    /** Returns whether the balancer should send requests here. */
    public boolean isReady() {
        return phase == NodePhase.SERVING;
    }

    /** Returns whether the node is on its way out. */
    public boolean isLeaving() {
        NodePhase now = phase;
        return now != NodePhase.STARTING && now != NodePhase.SERVING;
    }

    /** Waits until the node has left, for so long at most; returns whether it has. */
    public boolean awaitLeft(Duration bound) {
        return Uninterruptibles.awaitUninterruptibly(left, bound);
    }

    /** Waits until the node has left. */
    public void awaitLeft() throws InterruptedException {
        left.await();
    }
}
