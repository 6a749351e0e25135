package org.tarragonarch.ctl.explain;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobOutcome;

/** What the logs tell of one job, and the cause of its outcome. */
final class JobHistory {
    /**
     * How long before an answer the loss of its holder may have been noted. A lost holder's runs last a second, and the
     * job waits for them where no other holder may have it sooner.
     */
    private static final Duration LOSS_COUNTS_FOR = Duration.ofMillis(1_500);

    /** Clocks of two nodes may differ by some of this. */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(100);

    private final String job;
    private final ImmutableList<LogEntry> all;
    private final ImmutableList<LogEntry> own;
    private final Optional<LogEntry> answer;

    private JobHistory(String job, ImmutableList<LogEntry> all) {
        this.job = job;
        this.all = all;
        this.own = all.stream().filter(entry -> entry.isAbout(job)).collect(ImmutableList.toImmutableList());
        this.answer = own.stream()
                .filter(entry -> entry.event() == NodeEvent.JOB_ANSWERED)
                .reduce((earlier, later) -> later);
    }

    /**
     * Returns the story of a job.
     *
     * @param job the id that its client chose
     * @param entries the entries of all logs, the earliest first
     */
    static JobHistory of(String job, ImmutableList<LogEntry> entries) {
        return new JobHistory(job, entries);
    }

    String job() {
        return job;
    }

    /** Returns the entries that tell of the job. */
    ImmutableList<LogEntry> entries() {
        return own;
    }

    /** Returns the entries that tell of the job and those on the loss or drain that explains its outcome, in order. */
    ImmutableList<LogEntry> entriesWithContext() {
        return all.stream()
                .filter(entry -> entry.isAbout(job) || isLossOfHolder(entry) || isDrainInForce(entry))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the outcome that the client was given. */
    Optional<JobOutcome> outcome() {
        return answer.map(entry -> JobOutcome.valueOf(entry.text("outcome")));
    }

    /** Returns why the job ended as it did. */
    Cause cause() {
        if (answer.isEmpty() && !of(NodeEvent.QUEUE_UNKNOWN).isEmpty()) {
            return Cause.UNKNOWN_QUEUE;
        }
        if (answer.isEmpty()) {
            return nodeStopped() ? Cause.NODE_STOPPED : Cause.NOT_LOGGED;
        }
        return switch (outcome().orElseThrow()) {
            case DONE -> Cause.SERVED;
            case CANCELLED -> Cause.CANCELLED;
            case REFUSED -> causeOfRefusal();
            case FAILED -> failingEndpoints().size() == 1 ? Cause.BAD_ENDPOINT : Cause.BAD_WORK;
            case GIVEN_UP -> causeOfGivingUp();
        };
    }

    /** Returns the endpoints on which a run of the job did not do its work. */
    ImmutableSet<EndpointId> failingEndpoints() {
        return of(NodeEvent.RUN_ENDED_BADLY).stream()
                .map(entry -> EndpointId.of(entry.text("endpoint")))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the line of the last holder that refused the job within a share, if one did. */
    Optional<LogEntry> shareRefusal() {
        boolean isRefused = cause() == Cause.NO_ROOM;
        return of(NodeEvent.JOB_DECLINED).stream()
                .filter(entry -> isRefused && entry.hasShare())
                .reduce((earlier, later) -> later);
    }

    private Cause causeOfRefusal() {
        ImmutableList<LogEntry> declined = of(NodeEvent.JOB_DECLINED);
        if (declined.isEmpty()) {
            return Cause.NO_HOLDER;
        }
        boolean anyPlace = declined.stream().anyMatch(entry -> entry.number("places") > 0);
        if (anyPlace) {
            return Cause.NO_ROOM;
        }
        return all.stream().anyMatch(this::isDrainInForce) ? Cause.DRAINED : Cause.NO_ENDPOINTS;
    }

    private Cause causeOfGivingUp() {
        if (all.stream().anyMatch(this::isLossOfHolder)) {
            return Cause.HOLDER_LOST;
        }
        if (!failingEndpoints().isEmpty()) {
            return failingEndpoints().size() == 1 ? Cause.BAD_ENDPOINT : Cause.BAD_WORK;
        }
        return of(NodeEvent.JOB_DECLINED).isEmpty() ? Cause.OUT_OF_TIME : Cause.NO_ROOM;
    }

    private ImmutableList<LogEntry> of(NodeEvent event) {
        return own.stream().filter(entry -> entry.event() == event).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether the entry says that the node that answered lost the job's holder while that had the job. */
    private boolean isLossOfHolder(LogEntry entry) {
        if (answer.isEmpty() || entry.event() != NodeEvent.PEER_LOST) {
            return false;
        }
        LogEntry answered = answer.get();
        Instant arrived = answered.time().minusMillis(answered.number("after-ms"));
        Instant earliest = arrived.isAfter(answered.time().minus(LOSS_COUNTS_FOR))
                ? arrived
                : answered.time().minus(LOSS_COUNTS_FOR);
        return entry.node().equals(answered.node())
                && entry.text("peer").equals(answered.text("holder"))
                && !entry.time().isBefore(earliest)
                && !entry.time().isAfter(answered.time());
    }

    /** Returns whether the entry says that a domain was drained, at a node that declined the job while it was. */
    private boolean isDrainInForce(LogEntry entry) {
        return entry.event() == NodeEvent.DOMAIN_DRAINED
                && of(NodeEvent.JOB_DECLINED).stream()
                        .anyMatch(declined -> declined.node().equals(entry.node())
                                && !declined.time().isBefore(entry.time())
                                && !isUndrainedBetween(entry, declined.time()));
    }

    private boolean isUndrainedBetween(LogEntry drained, Instant until) {
        return all.stream()
                .anyMatch(entry -> entry.event() == NodeEvent.DOMAIN_UNDRAINED
                        && entry.node().equals(drained.node())
                        && entry.text("domain").equals(drained.text("domain"))
                        && entry.time().isAfter(drained.time())
                        && entry.time().isBefore(until));
    }

    /** Returns whether a node that is known to have had the job ended after the last line about it. */
    private boolean nodeStopped() {
        ImmutableSet<String> askers = own.stream()
                .map(entry -> entry.text("origin"))
                .filter(origin -> !origin.isEmpty())
                .collect(ImmutableSet.toImmutableSet());
        Instant last =
                own.isEmpty() ? Instant.MAX : own.get(own.size() - 1).time().minus(CLOCK_SLACK);
        return all.stream()
                .filter(entry -> entry.event() == NodeEvent.NODE_STARTED || entry.event() == NodeEvent.NODE_STOPPED)
                .anyMatch(entry ->
                        askers.contains(entry.node().value()) && entry.time().isAfter(last));
    }
}
