package org.tarragonarch.ctl.explain;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobOutcome;

/** The log entries about a job, and the cause of its outcome. */
final class JobHistory {
    /**
     * How long before the answer the loss of the holder may have been logged. Runs of a lost holder may continue for
     * a second, and the job waits for them unless another holder may take it sooner.
     */
    private static final Duration MAX_LOSS_AGE = Duration.ofMillis(1_500);

    /** Tolerated difference between the clocks of two nodes. */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(100);

    private final String job;
    private final ImmutableList<LogEntry> allEntries;
    private final ImmutableList<LogEntry> jobEntries;
    private final Optional<LogEntry> answer;

    private JobHistory(String job, ImmutableList<LogEntry> allEntries) {
        this.job = job;
        this.allEntries = allEntries;
        this.jobEntries =
                allEntries.stream().filter(entry -> entry.isAbout(job)).collect(ImmutableList.toImmutableList());
        this.answer = jobEntries.stream()
                .filter(entry -> entry.event() == NodeEvent.JOB_ANSWERED)
                .reduce((earlier, later) -> later);
    }

    /**
     * Returns the history of a job.
     *
     * @param job the id chosen by the client
     * @param entries the entries of all logs, sorted by time
     */
    static JobHistory of(String job, ImmutableList<LogEntry> entries) {
        return new JobHistory(job, entries);
    }

    String job() {
        return job;
    }

    /** Returns the entries about the job, sorted by time. */
    ImmutableList<LogEntry> entries() {
        return jobEntries;
    }

    /** Returns the entries about the job and about the loss or drain that explains its outcome, sorted by time. */
    ImmutableList<LogEntry> entriesWithContext() {
        return allEntries.stream()
                .filter(entry -> entry.isAbout(job) || isLossOfHolder(entry) || isDrainInForce(entry))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the outcome in the logged answer. */
    Optional<JobOutcome> outcome() {
        return answer.map(entry -> JobOutcome.valueOf(entry.text("outcome")));
    }

    /** Returns the cause of the outcome. */
    Cause cause() {
        if (answer.isEmpty() && !of(NodeEvent.QUEUE_UNKNOWN).isEmpty()) {
            return Cause.UNKNOWN_QUEUE;
        }
        if (answer.isEmpty()) {
            return isOriginStopped() ? Cause.NODE_STOPPED : Cause.NOT_LOGGED;
        }
        return switch (outcome().orElseThrow()) {
            case DONE -> Cause.SERVED;
            case CANCELLED -> Cause.CANCELLED;
            case REFUSED -> causeOfRefusal();
            case FAILED -> causeOfFailure();
            case GIVEN_UP -> causeOfGiveUp();
        };
    }

    /** Returns the endpoints on which a run of the job ended badly. */
    ImmutableSet<EndpointId> failingEndpoints() {
        return of(NodeEvent.RUN_ENDED_BADLY).stream()
                .map(entry -> EndpointId.of(entry.text("endpoint")))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the last entry of a holder that declined the job because of a share, if the job was refused. */
    Optional<LogEntry> shareRefusal() {
        boolean isRefused = cause() == Cause.NO_ROOM;
        return of(NodeEvent.JOB_DECLINED).stream()
                .filter(entry -> isRefused && entry.hasShare())
                .reduce((earlier, later) -> later);
    }

    /** Returns the cause of used up attempts; runs that were lost with their endpoints have not failed. */
    private Cause causeOfFailure() {
        long endpoints = of(NodeEvent.RUN_ENDED_BADLY).stream()
                .filter(entry -> entry.text("how").equals("FAILED"))
                .map(entry -> entry.text("endpoint"))
                .distinct()
                .count();
        return endpoints == 1 ? Cause.BAD_ENDPOINT : Cause.BAD_WORK;
    }

    private Cause causeOfRefusal() {
        ImmutableList<LogEntry> declined = of(NodeEvent.JOB_DECLINED);
        if (declined.isEmpty()) {
            return Cause.NO_HOLDER;
        }
        boolean hasSlots = declined.stream().anyMatch(entry -> entry.number("places") > 0);
        if (hasSlots) {
            return Cause.NO_ROOM;
        }
        return allEntries.stream().anyMatch(this::isDrainInForce) ? Cause.DRAINED : Cause.NO_ENDPOINTS;
    }

    private Cause causeOfGiveUp() {
        Optional<LogEntry> abandoned = of(NodeEvent.TASK_ABANDONED).stream().findFirst();
        if (abandoned.isPresent()) {
            return abandoned.get().text("ground").equals("ORDER_UNREADABLE")
                    ? Cause.ORDER_UNREADABLE
                    : Cause.ENDPOINTS_LOST;
        }
        if (allEntries.stream().anyMatch(this::isLossOfHolder)) {
            return Cause.HOLDER_LOST;
        }
        if (!failingEndpoints().isEmpty()) {
            return failingEndpoints().size() == 1 ? Cause.BAD_ENDPOINT : Cause.BAD_WORK;
        }
        return of(NodeEvent.JOB_DECLINED).isEmpty() ? Cause.OUT_OF_TIME : Cause.NO_ROOM;
    }

    private ImmutableList<LogEntry> of(NodeEvent event) {
        return jobEntries.stream().filter(entry -> entry.event() == event).collect(ImmutableList.toImmutableList());
    }

    /** Returns whether the entry reports that the answering node lost the holder while it had the job. */
    private boolean isLossOfHolder(LogEntry entry) {
        if (answer.isEmpty() || entry.event() != NodeEvent.PEER_LOST) {
            return false;
        }
        LogEntry answered = answer.get();
        Instant arrived = answered.time().minusMillis(answered.number("after-ms"));
        Instant earliest = arrived.isAfter(answered.time().minus(MAX_LOSS_AGE))
                ? arrived
                : answered.time().minus(MAX_LOSS_AGE);
        return entry.node().equals(answered.node())
                && entry.text("peer").equals(answered.text("holder"))
                && !entry.time().isBefore(earliest)
                && !entry.time().isAfter(answered.time());
    }

    /** Returns whether the entry reports a drain that was in force when the node declined the job. */
    private boolean isDrainInForce(LogEntry entry) {
        return entry.event() == NodeEvent.DOMAIN_DRAINED
                && of(NodeEvent.JOB_DECLINED).stream()
                        .anyMatch(declined -> declined.node().equals(entry.node())
                                && !declined.time().isBefore(entry.time())
                                && !isUndrainedBetween(entry, declined.time()));
    }

    private boolean isUndrainedBetween(LogEntry drained, Instant until) {
        return allEntries.stream()
                .anyMatch(entry -> entry.event() == NodeEvent.DOMAIN_UNDRAINED
                        && entry.node().equals(drained.node())
                        && entry.text("domain").equals(drained.text("domain"))
                        && entry.time().isAfter(drained.time())
                        && entry.time().isBefore(until));
    }

    /** Returns whether an origin of the job started or stopped after the last entry about the job. */
    private boolean isOriginStopped() {
        ImmutableSet<String> origins = jobEntries.stream()
                .map(entry -> entry.text("origin"))
                .filter(origin -> !origin.isEmpty())
                .collect(ImmutableSet.toImmutableSet());
        Instant last = jobEntries.isEmpty()
                ? Instant.MAX
                : jobEntries.get(jobEntries.size() - 1).time().minus(CLOCK_SLACK);
        return allEntries.stream()
                .filter(entry -> entry.event() == NodeEvent.NODE_STARTED || entry.event() == NodeEvent.NODE_STOPPED)
                .anyMatch(entry ->
                        origins.contains(entry.node().value()) && entry.time().isAfter(last));
    }
}
