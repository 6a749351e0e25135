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
 * The runs of earlier holders that a new holder finds on one endpoint.
 *
 * <p>A job that is offered to the new holder within the adoption time adopts its runs; all others are stopped. Until
 * every run is either adopted or over, the free capacity of the endpoint is not known.
 */
final class RecoveredRuns {
    /**
     * The time for which a recovered run waits for its job to be offered. Nodes learn of a holder within a few
     * milliseconds and send their offers immediately; a holder that has just started needs longer to read all of them.
     */
    private static final long ADOPTION_MILLIS = 120;

    /**
     * How long the runs may continue after the claim, or after the discovery of one that is to be stopped. Longer than
     * a lease by the time that it usually takes to stop the runs that no job adopts, so that the adopted ones go on.
     */
    private static final long MAX_MILLIS = 1_200;

    private final EndpointLink link;
    private final RunListPoller poller;
    private final EndpointHost host;
    private final Map<TaskRun, State> runs = new HashMap<>();
    private final Set<TaskName> doneTasks = new HashSet<>();
    private long runsEndMillis;

    RecoveredRuns(EndpointLink link, RunListPoller poller, EndpointHost host) {
        this.link = link;
        this.poller = poller;
        this.host = host;
        this.runsEndMillis = link.nowMillis() + MAX_MILLIS;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Returns until when runs may continue that are neither adopted nor over, on the steady clock in milliseconds.
     *
     * <p>Guards against a run that continues for as long as polls extend the lease of adopted runs: its origin starts
     * the job elsewhere as soon as the leases of the earlier holder have expired.
     */
    long runsEndMillis() {
        return runs.isEmpty() ? Long.MAX_VALUE : runsEndMillis;
    }

    /**
     * Processes the listed runs that are not reserved.
     *
     * <p>Only runs in the first list may be adopted. This holder has given up a run that appears later, and may have
     * started its task on another endpoint.
     */
    void processList(Set<TaskRun> running, boolean firstList) {
        runs.keySet().retainAll(running);
        for (TaskRun run : running) {
            if (firstList) {
                runs.put(run, State.ADOPTABLE);
            } else if (!runs.containsKey(run)) {
                if (runs.isEmpty()) {
                    runsEndMillis = link.nowMillis() + MAX_MILLIS;
                }
                stop(run);
            }
        }
        if (firstList) {
            link.timers().schedule(ADOPTION_MILLIS, this::stopUnclaimed);
        }
    }

    /** Records a task that was completed under an earlier holder, before its job was offered. */
    void recordDone(TaskName task) {
        doneTasks.add(task);
    }

    /** Discards all runs, because the incarnation that listed them is over. */
    void clear() {
        runs.clear();
        doneTasks.clear();
    }

    /**
     * Lets a job adopt its runs that an earlier holder started on this endpoint.
     *
     * @param adopter called with each adopted run and its task
     */
    void adopt(PlacedJob job, BiConsumer<PlacedTask, TaskRun> adopter) {
        if (runs.isEmpty() && doneTasks.isEmpty()) {
            return;
        }
        for (PlacedTask task : job.tasks()) {
            if (doneTasks.contains(task.name()) && task.isUnresolved()) {
                job.recordFinished(task);
            }
        }
        for (TaskRun run : adoptableRuns(job.id())) {
            job.task(run.task()).filter(PlacedTask::isUnresolved).ifPresent(task -> {
                remove(run);
                adopter.accept(task, run);
            });
        }
    }

    /** Removes a run that is over or was adopted. */
    void remove(TaskRun run) {
        runs.remove(run);
    }

    /** Returns whether a run of the job is being stopped. */
    boolean isStoppingRunOf(JobId job) {
        for (Map.Entry<TaskRun, State> each : runs.entrySet()) {
            if (each.getValue() == State.STOPPING && each.getKey().task().belongsTo(job)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the runs of a job that may still be adopted. */
    private ImmutableSet<TaskRun> adoptableRuns(JobId job) {
        ImmutableSet.Builder<TaskRun> adoptable = ImmutableSet.builder();
        for (Map.Entry<TaskRun, State> each : runs.entrySet()) {
            if (each.getValue() == State.ADOPTABLE && each.getKey().task().belongsTo(job)) {
                adoptable.add(each.getKey());
            }
        }
        return adoptable.build();
    }

    private void stopUnclaimed() {
        doneTasks.clear();
        ImmutableSet.copyOf(runs.keySet()).stream()
                .filter(run -> runs.get(run) == State.ADOPTABLE)
                .forEach(this::stop);
    }

    private void stop(TaskRun run) {
        runs.put(run, State.STOPPING);
        sendStop(run, false);
    }

    private void sendStop(TaskRun run, boolean fresh) {
        if (!host.isClosed() && runs.containsKey(run)) {
            link.stop(run, fresh, answer -> stopAnswered(run, answer));
        }
    }

    /**
     * Handles the answer to a stop. Only a run that the endpoint does not know is over at once; in all other cases the
     * next list decides. Guards against a run that is considered over while it continues: its lease would be renewed
     * together with that of every later run on this endpoint.
     */
    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (host.isClosed() || !runs.containsKey(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE -> link.timers().schedule(link.settings().maxStopTime(), poller::pollIfIdle);
            case OLD_RUN -> {
                runs.remove(run);
                poller.pollIfIdle();
            }
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> link.timers().schedule(RunListPoller.FIRST_RETRY_MILLIS, () -> sendStop(run, true));
        }
    }

    /** The state of a recovered run. */
    private enum State {
        ADOPTABLE,
        STOPPING
    }
}
