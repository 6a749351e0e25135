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

    private final EndpointLink link;
    private final RunListPoller poller;
    private final EndpointHost host;
    private final Map<TaskRun, State> runs = new HashMap<>();
    private final Set<TaskName> doneTasks = new HashSet<>();

    RecoveredRuns(EndpointLink link, RunListPoller poller, EndpointHost host) {
        this.link = link;
        this.poller = poller;
        this.host = host;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Returns whether the leases on the endpoint may be extended: whether every run is adopted, over, or certain to end
     * because its stop was answered.
     *
     * <p>Guards against a run that continues for as long as one holder after the other extends the lease of adopted
     * runs beside it. A holder cannot know when the origin of a job that is not offered to it starts that job
     * elsewhere, but no origin does so before the leases that the job's own holder extended have expired.
     */
    boolean allowLeaseExtension() {
        return runs.values().stream().allMatch(state -> state == State.STOPPED);
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
     * Lets a job adopt its runs that an earlier holder started on this endpoint. The leases may be as long as if the
     * earlier holder had extended them just now.
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
                link.recordLease();
                adopter.accept(task, run);
            });
        }
        poller.renewIfDue();
    }

    /** Removes a run that is over or was adopted. */
    void remove(TaskRun run) {
        runs.remove(run);
    }

    /** Returns whether a run of the job is being stopped. */
    boolean isStoppingRunOf(JobId job) {
        for (Map.Entry<TaskRun, State> each : runs.entrySet()) {
            if (each.getValue() != State.ADOPTABLE && each.getKey().task().belongsTo(job)) {
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
        sendStop(run, false, RunOrders.FIRST_RESEND_MILLIS);
    }

    /** Sends a stop, and again in parallel until one is answered: no lease is extended before. */
    private void sendStop(TaskRun run, boolean fresh, long resendMillis) {
        int sentTo = link.incarnationNumber();
        link.stop(run, fresh, answer -> stopAnswered(run, answer));
        link.timers().schedule(resendMillis, () -> {
            if (sentTo == link.incarnationNumber() && isStopping(run)) {
                sendStop(run, true, RunOrders.backedOff(resendMillis));
            }
        });
    }

    private boolean isStopping(TaskRun run) {
        return !host.isClosed() && runs.get(run) == State.STOPPING;
    }

    /**
     * Handles the answer to a stop. Only a run that the endpoint does not know is over at once; in all other cases the
     * next list decides. Guards against a run that is considered over while it continues: its lease would be renewed
     * together with that of every later run on this endpoint.
     */
    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (!isStopping(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE -> {
                runs.put(run, State.STOPPED);
                poller.renewIfDue();
                link.timers().schedule(link.settings().maxStopTime(), poller::pollIfIdle);
            }
            case OLD_RUN -> {
                runs.remove(run);
                poller.renewIfDue();
                poller.pollIfIdle();
            }
            case FENCED -> host.endpointFenced();
            case OTHER_ENDPOINT -> host.endpointGone();
            default -> {
                // The stop is sent again in any case.
            }
        }
    }

    /** The state of a recovered run. */
    private enum State {
        /** A job may adopt the run. */
        ADOPTABLE,
        /** The stop order was sent, and is repeated until it is answered. */
        STOPPING,
        /** The endpoint answered the stop: the run ends soon. */
        STOPPED
    }
}
