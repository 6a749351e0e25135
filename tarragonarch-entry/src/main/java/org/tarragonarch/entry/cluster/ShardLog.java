package org.tarragonarch.entry.cluster;

import org.tarragonarch.core.placing.CompletionEstimate;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;

/** Writes and counts what happens on the shards that this node holds; docs/OPERATIONS.md explains each line. */
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
        meters.declined();
        log.line(
                NodeEvent.JOB_DECLINED,
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
                estimate.places(),
                "free-places",
                estimate.freePlaces(),
                "waiting-jobs",
                estimate.waitingJobs());
    }

    @Override
    public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
        meters.runEndedBadly(kind);
        log.line(
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
    public void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {
        log.line(
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
        log.line(event, "domain", domain, "store-version", version, "source", source);
    }

    @Override
    public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
        log.line(NodeEvent.SHARD_CLAIMED, "shard", shard, "token", token, "endpoints", endpoints);
    }

    @Override
    public void resigned(FailureDomain shard, FencingToken token) {
        log.line(NodeEvent.SHARD_RESIGNED, "shard", shard, "token", token);
    }

    @Override
    public void fenced(FailureDomain shard, FencingToken token) {
        log.line(NodeEvent.SHARD_FENCED, "shard", shard, "token", token);
    }
}
