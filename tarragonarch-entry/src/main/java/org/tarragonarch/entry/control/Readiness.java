package org.tarragonarch.entry.control;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.report.NodePhase;

/** The phase of the node; the control thread sets it, any thread may read it. */
public final class Readiness {
    private final CountDownLatch left = new CountDownLatch(1);
    private volatile NodePhase phase = NodePhase.STARTING;

    private Readiness() {}

    /** Returns an instance in phase {@link NodePhase#STARTING}. */
    public static Readiness create() {
        return new Readiness();
    }

    /** Sets the phase. */
    public void enter(NodePhase next) {
        phase = next;
        if (next == NodePhase.LEFT) {
            left.countDown();
        }
    }

    /** Returns the current phase. */
    public NodePhase phase() {
        return phase;
    }

    /** Returns whether the load balancer should send requests to this node. */
    public boolean isReady() {
        return phase == NodePhase.SERVING;
    }

    /** Returns whether the node is draining or has left. */
    public boolean isLeaving() {
        NodePhase now = phase;
        return now != NodePhase.STARTING && now != NodePhase.SERVING;
    }

    /** Waits until the node has left or the timeout passes; returns whether it has left. */
    public boolean awaitLeft(Duration timeout) {
        return Uninterruptibles.awaitUninterruptibly(left, timeout);
    }

    /** Waits until the node has left. */
    public void awaitLeft() throws InterruptedException {
        left.await();
    }
}
