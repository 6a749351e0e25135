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
 * Classifies the runs in an endpoint's lists: reserved by this holder, left by an earlier holder, or ordered from an
 * earlier incarnation.
 */
final class ListedRuns {
    private final EndpointLink link;
    private final ReservedCapacity reserved;
    private final UnansweredStarts unanswered;
    private final RunListPoller poller;
    private final RecoveredRuns recovered;
    private final LateStarts lateStarts;
    private boolean anyListRead;

    ListedRuns(
            EndpointLink link,
            ReservedCapacity reserved,
            UnansweredStarts unanswered,
            RunListPoller poller,
            EndpointHost host) {
        this.link = link;
        this.reserved = reserved;
        this.unanswered = unanswered;
        this.poller = poller;
        this.recovered = new RecoveredRuns(link, poller, host);
        this.lateStarts = new LateStarts(link, poller, host);
    }

    /** Returns the runs that an earlier holder left on the endpoint. */
    RecoveredRuns recovered() {
        return recovered;
    }

    /** Returns whether a list of any incarnation was ever read. */
    boolean anyListRead() {
        return anyListRead;
    }

    /** Returns whether all runs on the endpoint are reserved, so that its free capacity is known. */
    boolean areAllReserved() {
        return recovered.isEmpty() && lateStarts.isEmpty();
    }

    /** Returns until when runs that are not reserved may continue, on the steady clock in milliseconds. */
    long runsEndMillis() {
        return recovered.allowLeaseExtension() ? lateStarts.runsEndMillis() : EndpointLink.NO_EXTENSION;
    }

    /** Returns whether the endpoint may still carry out a start order that it has not answered. */
    boolean mayStartUnansweredRun() {
        return unanswered.hasAny(link.incarnation().id(), link.nowMillis());
    }

    /** Discards the runs of the previous incarnation, and stops those that the current one may start by late orders. */
    void endpointRestarted() {
        recovered.clear();
        lateStarts.clear();
        stopLateStarts();
    }

    private void stopLateStarts() {
        lateStarts.stop(ImmutableSet.copyOf(
                unreserved(unanswered.runsAt(link.incarnation().id(), link.nowMillis()))));
    }

    /** Records that an endpoint with another id answers, so that nothing runs. */
    void endpointGone() {
        recovered.clear();
        poller.markRead();
    }

    /** Processes the end of a run. */
    void processEnd(TaskEnd end) {
        recovered.remove(end.run());
        unanswered.recordListed(link.incarnation().id(), end.run());
        if (!anyListRead
                && end.kind() == EndKind.DONE
                && reserved.find(end.run()).isEmpty()) {
            recovered.recordDone(end.run().task());
        }
    }

    /**
     * Processes a list of runs.
     *
     * <p>Only runs in the very first list may be adopted. After that call the endpoint rejects every earlier holder,
     * and the runs of a later incarnation were ordered by this holder.
     *
     * @param sentAtMillis when the list was requested, on the steady clock
     * @param firstList whether the list is the first of its incarnation
     */
    void processList(Set<TaskRun> running, long sentAtMillis, boolean firstList) {
        if (firstList) {
            readAgainIfReserved();
            stopLateStarts();
        }
        lateStarts.processList(running, sentAtMillis);
        if (mayStartUnansweredRun()) {
            running.forEach(run -> unanswered.recordListed(link.incarnation().id(), run));
        }
        recovered.processList(Sets.filter(unreserved(running), run -> !lateStarts.contains(run)), !anyListRead);
        anyListRead = true;
    }

    /**
     * Reads the lists once more after the first list of an incarnation if anything is reserved. The first list may have
     * been requested before a start was answered, so it does not prove that a run missing from it is over.
     */
    private void readAgainIfReserved() {
        if (!reserved.isEmpty()) {
            link.timers().schedule(1, () -> poller.readOnNewConnection(() -> {}));
        }
    }

    private Set<TaskRun> unreserved(Set<TaskRun> runs) {
        return Sets.filter(runs, run -> reserved.find(run).isEmpty());
    }

    /** Returns the progress of each listed run, in percent. */
    static ImmutableMap<TaskRun, Integer> percentByRun(Iterable<RunProgress> listed) {
        ImmutableMap.Builder<TaskRun, Integer> percentByRun = ImmutableMap.builder();
        listed.forEach(each -> percentByRun.put(each.run(), each.percent()));
        return percentByRun.buildKeepingLast();
    }
}
