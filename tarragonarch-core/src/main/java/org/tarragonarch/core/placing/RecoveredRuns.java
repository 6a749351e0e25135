package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/**
 * The runs that a new holder finds on one endpoint, left there by an earlier one.
 *
 * <p>Each may be adopted by its job, if that is offered here soon; after that it is stopped. Until it is either
 * adopted or gone, the room that it takes is not known.
 */
final class RecoveredRuns {
    /**
     * How long what an earlier holder left running waits for its job to be offered here. Nodes learn of a holder within
     * a few milliseconds and offer at once; a holder that has just started needs longer to read all their offers.
     */
    private static final long ADOPTION_MILLIS = 120;

    private final EndpointLink link;
    private final RunListPoller poller;
    private final EndpointHost host;
    private final Map<TaskRun, State> runs = new HashMap<>();
    private final Set<TaskName> doneBefore = new HashSet<>();

    RecoveredRuns(EndpointLink link, RunListPoller poller, EndpointHost host) {
        this.link = link;
        this.poller = poller;
        this.host = host;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Processes the listed runs that were not started here.
     *
     * <p>Only runs in the first list may be adopted. A run that appears later was given up here, and its task may have
     * been started elsewhere.
     */
    void processList(Set<TaskRun> running, boolean firstList) {
        runs.keySet().retainAll(running);
        for (TaskRun run : running) {
            if (firstList) {
                runs.put(run, State.FREE);
            } else if (!runs.containsKey(run)) {
                stop(run);
            }
        }
        if (firstList) {
            link.timers().after(ADOPTION_MILLIS, this::stopUnclaimed);
        }
    }

    /** Notes a task that ended well before anybody here asked for it. */
    void doneBefore(TaskName task) {
        doneBefore.add(task);
    }

    /** Forgets everything: the incarnation on which it was found is over. */
    void clear() {
        runs.clear();
        doneBefore.clear();
    }

    /**
     * Lets a job adopt what an earlier holder started of it here.
     *
     * @param adopter takes a run on as its task's
     */
    void adopt(PlacedJob job, BiConsumer<PlacedTask, TaskRun> adopter) {
        if (runs.isEmpty() && doneBefore.isEmpty()) {
            return;
        }
        for (PlacedTask task : job.tasks()) {
            if (doneBefore.contains(task.name()) && task.isUnresolved()) {
                job.recordFinished(task);
            }
        }
        for (TaskRun run : freeOf(job.id())) {
            job.task(run.task()).filter(PlacedTask::isUnresolved).ifPresent(task -> {
                remove(run);
                adopter.accept(task, run);
            });
        }
    }

    /** Notes that a run is over, or is known to somebody now. */
    void remove(TaskRun run) {
        runs.remove(run);
    }

    /** Returns whether a run of the job is being stopped. */
    boolean anyStopping(JobId job) {
        for (Map.Entry<TaskRun, State> each : runs.entrySet()) {
            if (each.getValue() == State.STOPPING && each.getKey().task().isOf(job)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the runs of a job that may still be adopted. */
    private ImmutableSet<TaskRun> freeOf(JobId job) {
        ImmutableSet.Builder<TaskRun> free = ImmutableSet.builder();
        for (Map.Entry<TaskRun, State> each : runs.entrySet()) {
            if (each.getValue() == State.FREE && each.getKey().task().isOf(job)) {
                free.add(each.getKey());
            }
        }
        return free.build();
    }

    private void stopUnclaimed() {
        doneBefore.clear();
        ImmutableSet.copyOf(runs.keySet()).stream()
                .filter(run -> runs.get(run) == State.FREE)
                .forEach(this::stop);
    }

    private void stop(TaskRun run) {
        runs.put(run, State.STOPPING);
        sendStop(run, false);
    }

    private void sendStop(TaskRun run, boolean fresh) {
        if (!host.closed() && runs.containsKey(run)) {
            link.stop(run, fresh, answer -> stopAnswered(run, answer));
        }
    }

    /**
     * A run that the endpoint says it does not know is over. After any other answer, or none, the next list tells:
     * taken for over while it runs, it would be renewed with whatever is started here, for as long as that goes on.
     */
    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (host.closed() || !runs.containsKey(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE -> link.timers().after(link.settings().maxStopTime(), poller::pollIfIdle);
            case OLD_RUN -> {
                runs.remove(run);
                poller.pollIfIdle();
            }
            case FENCED -> host.fenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> link.timers().after(RunListPoller.FIRST_RETRY_MILLIS, () -> sendStop(run, true));
        }
    }

    /** Whether a run may be adopted. */
    private enum State {
        FREE,
        STOPPING
    }
}
