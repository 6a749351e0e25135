package org.tarragonarch.entry.cluster;

import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.Timers;

/**
 * The shutdown of a node that was asked to stop: accepts jobs until the balancer sends no more clients, finishes open
 * jobs and pending cancellations, and ends the process before it would be killed.
 */
final class NodeShutdown {
    /** Time until the balancer drops the node: it checks once a second and drops a node after two failed checks. */
    private static final long BALANCER_NOTICE_MILLIS = 2_300;

    /**
     * Time for which a leaving node still accepts jobs after the balancer has dropped it. Every answer of a leaving
     * node closes its connection, so hardly any client remains connected after this time.
     */
    private static final long OPEN_CONNECTIONS_MILLIS = 500;

    /** Time before the process would be killed at which the node gives up the jobs that are still open. */
    private static final long LAST_ANSWERS_MILLIS = 500;

    /** Interval between checks whether all clients are answered. */
    private static final long CHECK_MILLIS = 50;

    /** Time to send the last answers before the process ends. */
    private static final long SEND_MILLIS = 100;

    private final JobRouter router;
    private final PeerCancellations cancellations;
    private final Timers timers;
    private final DecisionLog log;
    private final long shutdownMillis;
    private final Runnable exit;
    private final long startedAtMillis;

    /**
     * Creates the shutdown of a node that starts to leave now.
     *
     * @param shutdownMillis the time from now until the process would be killed
     * @param exit ends the process
     */
    NodeShutdown(
            JobRouter router,
            PeerCancellations cancellations,
            Timers timers,
            DecisionLog log,
            long shutdownMillis,
            Runnable exit) {
        this.router = router;
        this.cancellations = cancellations;
        this.timers = timers;
        this.log = log;
        this.shutdownMillis = shutdownMillis;
        this.exit = exit;
        this.startedAtMillis = timers.nowMillis();
    }

    void run() {
        long waited = timers.nowMillis() - startedAtMillis;
        if (waited >= BALANCER_NOTICE_MILLIS + OPEN_CONNECTIONS_MILLIS) {
            router.refuseNewJobs();
        }
        boolean isWithoutJobs = router.refusesNewJobs() && router.openJobs() == 0;
        if (isWithoutJobs) {
            // Clients that go on cancelling must not keep the process.
            cancellations.answerNewAtOnce();
        }
        if (isWithoutJobs && cancellations.isEmpty() || waited >= shutdownMillis - LAST_ANSWERS_MILLIS) {
            endProcess(waited);
        } else {
            timers.schedule(CHECK_MILLIS, this::run);
        }
    }

    private void endProcess(long waited) {
        log.write(NodeEvent.NODE_STOPPED, "open-jobs", router.openJobs(), "after-ms", waited);
        router.refuseNewJobs();
        router.giveUpAll();
        cancellations.answerAll();
        timers.schedule(SEND_MILLIS, exit);
    }
}
