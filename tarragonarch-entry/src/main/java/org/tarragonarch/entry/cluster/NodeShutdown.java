package org.tarragonarch.entry.cluster;

import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.Timers;

/**
 * The last seconds of a node that was asked to stop: takes jobs until the balancer sends it no more clients, finishes
 * what is open, and ends the process before it would be killed.
 */
final class NodeShutdown {
    /** The balancer asks once a second and drops a node after two misses. */
    private static final long BALANCER_NOTICE_MILLIS = 2_300;

    /**
     * How long a leaving node still takes jobs after the balancer has noticed, in milliseconds. Every answer of a
     * leaving node closes its connection, so after this hardly any client is left that would be refused.
     */
    private static final long OPEN_CONNECTIONS_MILLIS = 500;

    /** How long before it would be killed a leaving node answers what is still open, in milliseconds. */
    private static final long LAST_ANSWERS_MILLIS = 500;

    /** How often to check whether all is answered, in milliseconds. */
    private static final long CHECK_MILLIS = 50;

    /** How long the last answers have to leave before the process ends, in milliseconds. */
    private static final long SEND_MILLIS = 100;

    private final JobRouter router;
    private final Timers timers;
    private final DecisionLog log;
    private final long shutdownMillis;
    private final long startedAtMillis;

    /**
     * Creates the departure of a node that leaves from now on.
     *
     * @param shutdownMillis when the process would be killed
     */
    NodeShutdown(JobRouter router, Timers timers, DecisionLog log, long shutdownMillis) {
        this.router = router;
        this.timers = timers;
        this.log = log;
        this.shutdownMillis = shutdownMillis;
        this.startedAtMillis = timers.nowMillis();
    }

    void run() {
        long waited = timers.nowMillis() - startedAtMillis;
        if (waited >= BALANCER_NOTICE_MILLIS + OPEN_CONNECTIONS_MILLIS) {
            router.refuseNewJobs();
        }
        boolean idle = router.closed() && router.openJobs() == 0;
        if (idle || waited >= shutdownMillis - LAST_ANSWERS_MILLIS) {
            endProcess(waited);
        } else {
            timers.after(CHECK_MILLIS, this::run);
        }
    }

    private void endProcess(long waited) {
        log.write(NodeEvent.NODE_STOPPED, "open-jobs", router.openJobs(), "after-ms", waited);
        router.giveUpAll();
        timers.after(SEND_MILLIS, () -> Runtime.getRuntime().halt(0));
    }
}
