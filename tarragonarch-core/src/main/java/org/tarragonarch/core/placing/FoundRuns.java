package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/**
 * The runs that a new holder finds on one endpoint, left there by an earlier one.
 *
 * <p>Each may be taken over by its job, if that is offered here soon; after that it is stopped. Until it is either
 * taken over or gone, the room that it takes is not known.
 */
final class FoundRuns {
    /**
     * How long what an earlier holder left running waits for its job to be offered here. Nodes learn of a holder within
     * some 10 ms of its claim and offer at once; a node that is slowed down six times needs six times that.
     */
    private static final long TAKE_OVER_MILLIS = 80;

    /** The pause before a stop that got no answer is sent again; as that of looks. */
    private static final long STOP_AGAIN_MILLIS = 40;

    private final Timers timers;
    private final long stopMillis;
    private final Host host;
    private final Map<TaskRun, State> runs = new HashMap<>();
    private final Set<TaskName> doneBefore = new HashSet<>();

    FoundRuns(Timers timers, long stopMillis, Host host) {
        this.timers = timers;
        this.stopMillis = stopMillis;
        this.host = host;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Takes in what runs that nobody here started.
     *
     * <p>Only what the first look shows may be taken over. What shows later is a run that was given up here, and its
     * task may have been started elsewhere.
     */
    void listed(Set<TaskRun> running, boolean firstLook) {
        runs.keySet().retainAll(running);
        for (TaskRun run : running) {
            if (firstLook) {
                runs.put(run, State.FREE);
            } else if (!runs.containsKey(run)) {
                stop(run);
            }
        }
        if (firstLook) {
            timers.after(TAKE_OVER_MILLIS, this::stopUnclaimed);
        }
    }

    /** Notes a task that ended well before anybody here asked for it. */
    void doneBefore(TaskName task) {
        doneBefore.add(task);
    }

    boolean isDoneBefore(TaskName task) {
        return doneBefore.contains(task);
    }

    /** Notes that a run is over, or is known to somebody now. */
    void remove(TaskRun run) {
        runs.remove(run);
    }

    /** Returns whether a run of the job is being stopped. */
    boolean anyStopping(JobId job) {
        return runs.entrySet().stream()
                .anyMatch(each -> each.getValue() == State.STOPPING
                        && each.getKey().task().isOf(job));
    }

    /** Returns the runs of a job that may still be taken over. */
    ImmutableSet<TaskRun> freeOf(JobId job) {
        return runs.entrySet().stream()
                .filter(each ->
                        each.getValue() == State.FREE && each.getKey().task().isOf(job))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
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
            host.stop(run, fresh, answer -> stopAnswered(run, answer));
        }
    }

    /**
     * A run that the endpoint says it does not know is over. After any other answer, or none, the next look tells:
     * taken for over while it runs, it would be renewed with whatever is started here, for as long as that goes on.
     */
    private void stopAnswered(TaskRun run, OrderAnswer answer) {
        if (host.closed() || !runs.containsKey(run)) {
            return;
        }
        switch (answer.result()) {
            case DONE -> timers.after(stopMillis, host::lookIfNeeded);
            case OLD_RUN -> {
                runs.remove(run);
                host.lookIfNeeded();
            }
            case OUTRANKED -> host.outranked();
            case OTHER_LIFE -> host.lifeOver();
            default -> timers.after(STOP_AGAIN_MILLIS, () -> sendStop(run, true));
        }
    }

    /** Whether a run may be taken over. */
    private enum State {
        FREE,
        STOPPING
    }

    /** The endpoint on which the runs are. */
    interface Host {
        /** Returns whether no orders are given to it any more. */
        boolean closed();

        /** Orders it to stop a run. */
        void stop(TaskRun run, boolean fresh, Consumer<OrderAnswer> reply);

        /** Looks at it, unless a look is under way. */
        void lookIfNeeded();

        /** Another holder has it. */
        void outranked();

        /** Another life answers at its address. */
        void lifeOver();
    }
}
