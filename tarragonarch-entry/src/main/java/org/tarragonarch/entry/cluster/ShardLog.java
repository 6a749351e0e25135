package org.tarragonarch.entry.cluster;

import org.tarragonarch.core.placing.Outlook;
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
    private final DecisionLog log;
    private final NodeMeters meters;

    ShardLog(DecisionLog log, NodeMeters meters) {
        this.log = log;
        this.meters = meters;
    }

    @Override
    public void declined(NodeId asker, JobId job, Outlook outlook) {
        meters.declined();
        log.line(
                NodeEvent.JOB_DECLINED,
                "job",
                job,
                "asker",
                asker,
                "wait-ms",
                outlook.waitMillis(),
                "expected-run-ms",
                outlook.expectedRunMillis(),
                "in-time-within-ms",
                outlook.inTimeWithinMillis(),
                "deadline-within-ms",
                outlook.deadlineWithinMillis(),
                "places",
                outlook.places(),
                "free-places",
                outlook.freePlaces(),
                "waiting-jobs",
                outlook.waitingJobs());
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
    public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
        log.line(NodeEvent.SHARD_CLAIMED, "shard", shard, "token", token, "endpoints", endpoints);
    }

    @Override
    public void resigned(FailureDomain shard, FencingToken token) {
        log.line(NodeEvent.SHARD_RESIGNED, "shard", shard, "token", token);
    }

    @Override
    public void outranked(FailureDomain shard, FencingToken token) {
        log.line(NodeEvent.SHARD_OUTRANKED, "shard", shard, "token", token);
    }
}
