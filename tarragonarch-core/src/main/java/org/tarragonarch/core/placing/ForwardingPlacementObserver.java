package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** An observer that forwards every call to another observer. */
public abstract class ForwardingPlacementObserver implements PlacementObserver {
    private final PlacementObserver delegate;

    /** Creates an observer that forwards to the delegate. */
    protected ForwardingPlacementObserver(PlacementObserver delegate) {
        this.delegate = checkNotNull(delegate, "delegate");
    }

    @Override
    public void declined(NodeId origin, JobId job, CompletionEstimate estimate) {
        delegate.declined(origin, job, estimate);
    }

    @Override
    public void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {
        delegate.recovered(origin, job, ground, waitedMillis);
    }

    @Override
    public void resubmitted(JobId job, NodeId before, NodeId now) {
        delegate.resubmitted(job, before, now);
    }

    @Override
    public void originLost(NodeId origin, int jobs) {
        delegate.originLost(origin, jobs);
    }

    @Override
    public void jobsNotOpen(NodeId origin, int jobs) {
        delegate.jobsNotOpen(origin, jobs);
    }

    @Override
    public void startsWithheld(NodeId origin, JobId job) {
        delegate.startsWithheld(origin, job);
    }

    @Override
    public void runsWithoutAuthority(NodeId origin, JobId job, int runs) {
        delegate.runsWithoutAuthority(origin, job, runs);
    }

    @Override
    public void shareLimited(ShareState state, boolean isLimited) {
        delegate.shareLimited(state, isLimited);
    }

    @Override
    public void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {
        delegate.speedChanged(shard, endpoint, from, to);
    }

    @Override
    public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
        delegate.runEndedBadly(shard, run, endpoint, kind);
    }

    @Override
    public void crashConfirmed(FailureDomain shard, TaskRun run, EndpointId endpoint) {
        delegate.crashConfirmed(shard, run, endpoint);
    }

    @Override
    public void taskAbandoned(TaskName task, AbandonGround ground, TaskEnds ends, int attempts) {
        delegate.taskAbandoned(task, ground, ends, attempts);
    }

    @Override
    public void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {
        delegate.endpointRestarted(shard, later);
    }
}
