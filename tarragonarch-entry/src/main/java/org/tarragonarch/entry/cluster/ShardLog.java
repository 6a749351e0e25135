package org.tarragonarch.entry.cluster;

import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.AbandonGround;
import org.tarragonarch.core.placing.CompletionEstimate;
import org.tarragonarch.core.placing.RecoveryGround;
import org.tarragonarch.core.placing.TaskEnds;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** Logs and counts the events of the shards that this node holds. */
final class ShardLog implements ShardObserver {
    private static final double HUNDREDTHS = 100;

    private final DecisionLog log;
    private final NodeMeters meters;

    ShardLog(DecisionLog log, NodeMeters meters) {
        this.log = log;
        this.meters = meters;
    }

    @Override
    public void declined(NodeId origin, JobId job, CompletionEstimate estimate) {
        meters.jobDeclined();
        List<Object> fields = new ArrayList<>(List.of(
                "job",
                job,
                "origin",
                origin,
                "wait-ms",
                estimate.waitMillis(),
                "expected-run-ms",
                estimate.expectedRunMillis(),
                "in-time-within-ms",
                estimate.inTimeWithinMillis(),
                "deadline-within-ms",
                estimate.deadlineWithinMillis(),
                "places",
                estimate.taskSlots(),
                "free-places",
                estimate.freeTaskSlots(),
                "waiting-jobs",
                estimate.waitingJobs()));
        estimate.share().ifPresent(share -> {
            meters.jobRefusedInShare(share.share());
            fields.addAll(fields(share));
        });
        log.write(NodeEvent.JOB_DECLINED, fields.toArray());
    }

    @Override
    public void shareLimited(ShareState state, boolean isLimited) {
        NodeEvent event = isLimited ? NodeEvent.SHARE_LIMITED : NodeEvent.SHARE_UNLIMITED;
        log.write(event, fields(state).toArray());
    }

    private static List<Object> fields(ShareState state) {
        return List.of(
                "share-service",
                state.share().service(),
                "share-priority",
                state.share().priority(),
                "share-allotted-millicores",
                state.allottedMilliCores(),
                "share-used-millicores",
                state.usedMilliCores(),
                "share-waiting-millicores",
                state.waitingMilliCores(),
                "capacity-millicores",
                state.capacityMilliCores());
    }

    @Override
    public void movedToNeighbour(JobId job, NodeId holder) {
        meters.jobMoved();
        log.write(NodeEvent.JOB_MOVED, "job", job, "holder", holder);
    }

    @Override
    public void returnedByNeighbour(JobId job, NodeId holder) {
        meters.jobMovedBack();
        log.write(NodeEvent.JOB_MOVED_BACK, "job", job, "holder", holder);
    }

    @Override
    public void holderLost(JobId job, NodeId holder) {
        log.write(NodeEvent.JOB_HOLDER_LOST, "job", job, "holder", holder);
    }

    @Override
    public void offeredAgain(JobId job, NodeId holder, long sinceLossMillis) {
        log.write(NodeEvent.JOB_OFFERED_AGAIN, "job", job, "holder", holder, "since-loss-ms", sinceLossMillis);
    }

    @Override
    public void offersSentAgain(NodeId holder, int offers) {
        log.write(NodeEvent.OFFERS_SENT_AGAIN, "holder", holder, "offers", offers);
    }

    @Override
    public void offerNotSent(JobId job, NodeId holder) {
        log.write(NodeEvent.OFFER_NOT_SENT, "job", job, "holder", holder);
    }

    @Override
    public void clientsLeft(JobId job, NodeId holder) {
        log.write(NodeEvent.JOB_CLIENTS_LEFT, "job", job, "holder", holder);
    }

    @Override
    public void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {
        log.write(NodeEvent.JOB_RECOVERED, "job", job, "origin", origin, "ground", ground, "waited-ms", waitedMillis);
    }

    @Override
    public void resubmitted(JobId job, NodeId before, NodeId now) {
        log.write(NodeEvent.JOB_RESUBMITTED, "job", job, "before", before, "origin", now);
    }

    @Override
    public void originLost(NodeId origin, int jobs) {
        log.write(NodeEvent.ORIGIN_LOST, "origin", origin, "jobs", jobs);
    }

    @Override
    public void jobsNotOpen(NodeId origin, int jobs) {
        log.write(NodeEvent.JOBS_NOT_OPEN, "origin", origin, "jobs", jobs);
    }

    @Override
    public void startsWithheld(NodeId origin, JobId job) {
        log.write(NodeEvent.STARTS_WITHHELD, "origin", origin, "job", job);
    }

    @Override
    public void runsWithoutAuthority(NodeId origin, JobId job, int runs) {
        log.write(NodeEvent.RUNS_WITHOUT_AUTHORITY, "origin", origin, "job", job, "runs", runs);
    }

    @Override
    public void clockStoodStill(long millis) {
        log.write(NodeEvent.CLOCK_STOOD_STILL, "millis", millis);
    }

    @Override
    public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
        meters.runEndedBadly(kind);
        log.write(
                NodeEvent.RUN_ENDED_BADLY,
                "task",
                run.task(),
                "run",
                run.run(),
                "endpoint",
                endpoint,
                "shard",
                shard,
                "how",
                kind);
    }

    @Override
    public void crashConfirmed(FailureDomain shard, TaskRun run, EndpointId endpoint) {
        meters.crashConfirmed();
        log.write(
                NodeEvent.CRASH_CONFIRMED, "task", run.task(), "run", run.run(), "endpoint", endpoint, "shard", shard);
    }

    @Override
    public void taskAbandoned(TaskName task, AbandonGround ground, TaskEnds ends, int attempts) {
        meters.taskAbandoned(ground);
        log.write(
                NodeEvent.TASK_ABANDONED,
                "task",
                task,
                "ground",
                ground,
                "attempts",
                attempts,
                "failures",
                ends.failures(),
                "crashes",
                ends.crashes(),
                "lost-runs",
                ends.lostRuns());
    }

    @Override
    public void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {
        meters.endpointRestarted();
        log.write(
                NodeEvent.ENDPOINT_RESTARTED,
                "endpoint",
                later.id(),
                "shard",
                shard,
                "started-millis",
                later.startedMillis());
    }

    @Override
    public void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {
        log.write(
                NodeEvent.ENDPOINT_SPEED_CHANGED,
                "endpoint",
                endpoint,
                "shard",
                shard,
                "from",
                hundredths(from),
                "to",
                hundredths(to));
    }

    private static double hundredths(double speed) {
        return Math.round(speed * HUNDREDTHS) / HUNDREDTHS;
    }

    @Override
    public void drainChanged(FailureDomain domain, boolean isDrained, long version, String source) {
        NodeEvent event = isDrained ? NodeEvent.DOMAIN_DRAINED : NodeEvent.DOMAIN_UNDRAINED;
        log.write(event, "domain", domain, "store-version", version, "source", source);
    }

    @Override
    public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
        log.write(NodeEvent.SHARD_CLAIMED, "shard", shard, "token", token, "endpoints", endpoints);
    }

    @Override
    public void resigned(FailureDomain shard, FencingToken token) {
        log.write(NodeEvent.SHARD_RESIGNED, "shard", shard, "token", token);
    }

    @Override
    public void fenced(FailureDomain shard, FencingToken token) {
        log.write(NodeEvent.SHARD_FENCED, "shard", shard, "token", token);
    }
}
