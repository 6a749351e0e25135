package org.tarragonarch.core.placing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.TaskRun;

/**
 * The runs that one incarnation of an endpoint must not start, or must end: their orders went to an earlier one.
 *
 * <p>Each is stopped, which the incarnation remembers. Until all stops were answered and a later list shows none of the
 * runs, nothing else is started there: a run of these may take room.
 */
final class LateStarts {
    private static final long UNANSWERED = Long.MAX_VALUE;

    private final EndpointLink link;
    private final RunListPoller poller;
    private final EndpointHost host;
    private final Map<TaskRun, Long> stoppedAtMillis = new LinkedHashMap<>();
    private boolean listPlanned;

    LateStarts(EndpointLink link, RunListPoller poller, EndpointHost host) {
        this.link = link;
        this.poller = poller;
        this.host = host;
    }

    /** Stops the runs on an incarnation that was read for the first time. */
    void stop(Set<TaskRun> runs) {
        stoppedAtMillis.clear();
        runs.forEach(run -> stoppedAtMillis.put(run, UNANSWERED));
        runs.forEach(run -> sendStop(run, false));
    }

    boolean isEmpty() {
        return stoppedAtMillis.isEmpty();
    }

    boolean contains(TaskRun run) {
        return stoppedAtMillis.containsKey(run);
    }

    /** Processes a list: what was stopped before it was asked for and does not show is over for good. */
    void listed(Set<TaskRun> running, long sentAtMillis) {
        if (stoppedAtMillis.isEmpty()) {
            return;
        }
        stoppedAtMillis.entrySet().removeIf(run -> run.getValue() < sentAtMillis && !running.contains(run.getKey()));
        if (stoppedAtMillis.values().stream().anyMatch(stopped -> stopped < sentAtMillis)) {
            planList(link.settings().stopTime());
        }
    }

    private void sendStop(TaskRun run, boolean fresh) {
        if (!host.closed() && stoppedAtMillis.containsKey(run)) {
            link.stop(run, fresh, answer -> stopAnswered(run, answer));
        }
    }

    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (host.closed() || !stoppedAtMillis.containsKey(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE, OLD_RUN -> {
                stoppedAtMillis.put(run, link.nowMillis());
                planList(1);
            }
            case FENCED -> host.fenced();
            case OTHER_LIFE -> host.lifeOver();
            default -> link.timers().after(RunListPoller.FIRST_RETRY_MILLIS, () -> sendStop(run, true));
        }
    }

    private void planList(long afterMillis) {
        if (!listPlanned) {
            listPlanned = true;
            link.timers().after(afterMillis, this::list);
        }
    }

    private void list() {
        listPlanned = false;
        if (!host.closed() && !stoppedAtMillis.isEmpty()) {
            poller.readAside(() -> {});
        }
    }
}
