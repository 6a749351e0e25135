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
 * Classifies the runs in an endpoint's lists: reserved here, left by an earlier holder, or ordered from an earlier
 * incarnation.
 */
final class ListedRuns {
    private final EndpointLink link;
    private final ReservedCapacity room;
    private final UnansweredStarts unanswered;
    private final RunListPoller poller;
    private final RecoveredRuns recovered;
    private final LateStarts lateStarts;
    private boolean anyListRead;

    ListedRuns(
            EndpointLink link,
            ReservedCapacity room,
            UnansweredStarts unanswered,
            RunListPoller poller,
            EndpointHost host) {
        this.link = link;
        this.room = room;
        this.unanswered = unanswered;
        this.poller = poller;
        this.recovered = new RecoveredRuns(link, poller, host);
        this.lateStarts = new LateStarts(link, poller, host);
    }

    /** Returns the runs that an earlier holder left there. */
    RecoveredRuns recovered() {
        return recovered;
    }

    /** Returns whether any list of any incarnation was read. */
    boolean anyListRead() {
        return anyListRead;
    }

    /** Returns whether all runs there are reserved, so that the free room is known. */
    boolean areAllReserved() {
        return recovered.isEmpty() && lateStarts.isEmpty();
    }

    /** Returns whether an order to start a run may yet be carried out there. */
    boolean mayStartUnansweredRun() {
        return unanswered.hasAny(link.incarnation().id(), link.nowMillis());
    }

    /** Forgets the runs found on an incarnation that is over. */
    void endpointRestarted() {
        recovered.clear();
    }

    /** Notes that another endpoint answers, so that nothing runs. */
    void endpointGone() {
        recovered.clear();
        poller.markRead();
    }

    /** Processes the end of a run that is not reserved. */
    void processEnd(TaskEnd end) {
        recovered.remove(end.run());
        unanswered.recordListed(link.incarnation().id(), end.run());
        if (!anyListRead && end.kind() == EndKind.DONE && room.find(end.run()).isEmpty()) {
            recovered.recordDone(end.run().task());
        }
    }

    /**
     * Processes a list of runs.
     *
     * <p>Only runs in the very first list may be adopted. After that call the endpoint obeys no earlier holder, and
     * what runs on a later incarnation was ordered from here.
     *
     * @param sentAtMillis when the list was requested, on the steady clock
     * @param firstList whether the list is the first of its incarnation
     */
    void processList(Set<TaskRun> running, long sentAtMillis, boolean firstList) {
        if (firstList) {
            readAgainIfReserved();
            lateStarts.stop(ImmutableSet.copyOf(
                    unreserved(unanswered.runsAt(link.incarnation().id(), link.nowMillis()))));
        } else {
            lateStarts.processList(running, sentAtMillis);
        }
        if (mayStartUnansweredRun()) {
            running.forEach(run -> unanswered.recordListed(link.incarnation().id(), run));
        }
        recovered.processList(Sets.filter(unreserved(running), run -> !lateStarts.contains(run)), !anyListRead);
        anyListRead = true;
    }

    /**
     * Reads the lists again after the first of an incarnation if anything is reserved. The first list may have been
     * requested before a start was answered, so a run that is missing in it is not proved to be over.
     */
    private void readAgainIfReserved() {
        if (!room.isEmpty()) {
            link.timers().after(1, () -> poller.readOnNewConnection(() -> {}));
        }
    }

    private Set<TaskRun> unreserved(Set<TaskRun> runs) {
        return Sets.filter(runs, run -> room.find(run).isEmpty());
    }

    /** Returns the progress of each listed run, in percent. */
    static ImmutableMap<TaskRun, Integer> percentByRun(Iterable<RunProgress> listed) {
        ImmutableMap.Builder<TaskRun, Integer> percentByRun = ImmutableMap.builder();
        listed.forEach(each -> percentByRun.put(each.run(), each.percent()));
        return percentByRun.buildKeepingLast();
    }
}
