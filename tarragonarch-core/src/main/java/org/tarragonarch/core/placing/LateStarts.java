package org.tarragonarch.core.placing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.TaskRun;

/**
 * The runs whose start orders an earlier incarnation of an endpoint left unanswered, and which the current incarnation
 * must not run.
 *
 * <p>A stop is sent for each, which makes the incarnation refuse a start that arrives later. Nothing else is started on
 * the endpoint until all stops are answered and a later list contains none of the runs, because any of them may use
 * capacity.
 */
final class LateStarts {
    private static final long UNANSWERED = Long.MAX_VALUE;

    /** How long the runs may continue after the first stops: a lease and some resends. */
    private static final long MAX_MILLIS = 1_200;

    private final EndpointLink link;
    private final RunListPoller poller;
    private final EndpointHost host;
    private final Map<TaskRun, Long> stoppedAtMillis = new LinkedHashMap<>();
    private boolean listScheduled;
    private long runsEndMillis;

    LateStarts(EndpointLink link, RunListPoller poller, EndpointHost host) {
        this.link = link;
        this.poller = poller;
        this.host = host;
    }

    /** Discards the runs, because the incarnation that might start them is over. */
    void clear() {
        stoppedAtMillis.clear();
    }

    /** Stops the given runs, except those that are being stopped already. */
    void stop(Set<TaskRun> runs) {
        if (stoppedAtMillis.isEmpty()) {
            runsEndMillis = link.nowMillis() + MAX_MILLIS;
        }
        for (TaskRun run : runs) {
            if (stoppedAtMillis.putIfAbsent(run, UNANSWERED) == null) {
                sendStop(run, false);
            }
        }
    }

    boolean isEmpty() {
        return stoppedAtMillis.isEmpty();
    }

    /** Returns until when runs that may be in progress may continue, on the steady clock in milliseconds. */
    long runsEndMillis() {
        return stoppedAtMillis.isEmpty() ? Long.MAX_VALUE : runsEndMillis;
    }

    boolean contains(TaskRun run) {
        return stoppedAtMillis.containsKey(run);
    }

    /** Processes a list: a run is over if the list lacks it and was requested after the answer to its stop. */
    void processList(Set<TaskRun> running, long sentAtMillis) {
        if (stoppedAtMillis.isEmpty()) {
            return;
        }
        stoppedAtMillis.entrySet().removeIf(run -> run.getValue() < sentAtMillis && !running.contains(run.getKey()));
        if (stoppedAtMillis.values().stream().anyMatch(stopped -> stopped < sentAtMillis)) {
            scheduleList(link.settings().maxStopTime());
        }
    }

    private void sendStop(TaskRun run, boolean fresh) {
        if (!host.isClosed() && stoppedAtMillis.containsKey(run)) {
            link.stop(run, fresh, answer -> stopAnswered(run, answer));
        }
    }

    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (host.isClosed() || !stoppedAtMillis.containsKey(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE, OLD_RUN -> {
                stoppedAtMillis.put(run, link.nowMillis());
                scheduleList(1);
            }
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> link.timers().schedule(RunListPoller.FIRST_RETRY_MILLIS, () -> sendStop(run, true));
        }
    }

    private void scheduleList(long afterMillis) {
        if (!listScheduled) {
            listScheduled = true;
            link.timers().schedule(afterMillis, this::requestList);
        }
    }

    private void requestList() {
        listScheduled = false;
        if (!host.isClosed() && !stoppedAtMillis.isEmpty()) {
            poller.readOnNewConnection(() -> {});
        }
    }
}
