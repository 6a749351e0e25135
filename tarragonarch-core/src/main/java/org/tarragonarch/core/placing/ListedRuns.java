package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskRun;

/**
 * Tells of each run on an endpoint's lists whose it is: reserved here, left by an earlier holder, or ordered from an
 * earlier incarnation.
 */
final class ListedRuns {
    private final EndpointLink link;
    private final ReservedRoom room;
    private final UnansweredStarts unanswered;
    private final RunListPoller poller;
    private final RecoveredRuns recovered;
    private final LateStarts late;
    private boolean anyListRead;

    ListedRuns(
            EndpointLink link,
            ReservedRoom room,
            UnansweredStarts unanswered,
            RunListPoller poller,
            EndpointHost host) {
        this.link = link;
        this.room = room;
        this.unanswered = unanswered;
        this.poller = poller;
        this.recovered = new RecoveredRuns(link, poller, host);
        this.late = new LateStarts(link, poller, host);
    }

    /** Returns what an earlier holder left there. */
    RecoveredRuns recovered() {
        return recovered;
    }

    /** Returns whether any list of any incarnation was read. */
    boolean anyListRead() {
        return anyListRead;
    }

    /** Returns whether nothing takes room there but what is reserved. */
    boolean allReserved() {
        return recovered.isEmpty() && late.isEmpty();
    }

    /** Returns whether an order to start a run may yet be carried out there. */
    boolean mayStartLate() {
        return unanswered.anyAt(link.life().id(), link.nowMillis());
    }

    /** Forgets what was found on an incarnation that is over. */
    void restarted() {
        recovered.clear();
    }

    /** Processes the end of a run that is not reserved. */
    void ended(TaskEnd end) {
        recovered.remove(end.run());
        unanswered.shown(link.life().id(), end.run());
        if (!anyListRead && end.kind() == EndKind.DONE && room.of(end.run()).isEmpty()) {
            recovered.doneBefore(end.run().task());
        }
    }

    /**
     * Processes what runs.
     *
     * <p>Only what the very first list shows may be adopted: once this holder was heard there, earlier ones are shut
     * out, and what runs on a later incarnation was ordered from here.
     *
     * @param firstList whether the list is the first of its incarnation
     */
    void listed(Set<TaskRun> running, long sentAtMillis, boolean firstList) {
        if (firstList) {
            readAgainIfReserved();
            late.stop(ImmutableSet.copyOf(unreserved(unanswered.at(link.life().id(), link.nowMillis()))));
        } else {
            late.listed(running, sentAtMillis);
        }
        if (mayStartLate()) {
            running.forEach(run -> unanswered.shown(link.life().id(), run));
        }
        recovered.listed(Sets.filter(unreserved(running), run -> !late.contains(run)), !anyListRead);
        anyListRead = true;
    }

    /**
     * Reads the lists at once after the first of an incarnation: that was asked for before the starts were answered
     * that it does not show, and proves nothing of them.
     */
    private void readAgainIfReserved() {
        if (!room.isEmpty()) {
            link.timers().after(1, () -> poller.readAside(() -> {}));
        }
    }

    private Set<TaskRun> unreserved(Set<TaskRun> runs) {
        return Sets.filter(runs, run -> room.of(run).isEmpty());
    }

    /** Returns how far each listed run has got. */
    static ImmutableMap<TaskRun, Integer> percentByRun(Iterable<RunProgress> listed) {
        ImmutableMap.Builder<TaskRun, Integer> percentByRun = ImmutableMap.builder();
        listed.forEach(each -> percentByRun.put(each.run(), each.percent()));
        return percentByRun.buildKeepingLast();
    }
}
