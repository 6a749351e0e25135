package org.tarragonarch.core.placing;

/**
 * Reads the clock of an idle endpoint now and then.
 *
 * <p>Guards against a first lease after a long idle time that the assumed slowness of the clock has used up.
 */
final class ClockReadings {
    private final EndpointLink link;
    private final RunListHost host;
    private final Runnable poll;
    private boolean scheduled;

    /**
     * Creates an instance that has nothing scheduled.
     *
     * @param poll polls the endpoint unless a poll is in flight
     */
    ClockReadings(EndpointLink link, RunListHost host, Runnable poll) {
        this.link = link;
        this.host = host;
        this.poll = poll;
    }

    /** Schedules the next reading, unless one is scheduled. */
    void schedule() {
        if (!scheduled && !host.isClosed()) {
            scheduled = true;
            link.timers().schedule(link.settings().maxClockAge(), this::readIfOld);
        }
    }

    private void readIfOld() {
        scheduled = false;
        if (link.isClockOld()) {
            poll.run();
        } else {
            schedule();
        }
    }
}
