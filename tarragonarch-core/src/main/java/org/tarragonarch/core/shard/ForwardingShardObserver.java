package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.placing.CompletionEstimate;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointLife;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;

/** An observer that forwards every call to another one; subclasses override the calls to which they add something. */
public abstract class ForwardingShardObserver implements ShardObserver {
    private final ShardObserver delegate;

    /** Creates an observer that forwards to the delegate. */
    protected ForwardingShardObserver(ShardObserver delegate) {
        this.delegate = checkNotNull(delegate, "delegate");
    }

    @Override
    public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
        delegate.claimed(shard, token, endpoints);
    }

    @Override
    public void resigned(FailureDomain shard, FencingToken token) {
        delegate.resigned(shard, token);
    }

    @Override
    public void fenced(FailureDomain shard, FencingToken token) {
        delegate.fenced(shard, token);
    }

    @Override
    public void drainChanged(FailureDomain domain, boolean isDrained, long version, String source) {
        delegate.drainChanged(domain, isDrained, version, source);
    }

    @Override
    public void declined(NodeId origin, JobId job, CompletionEstimate estimate) {
        delegate.declined(origin, job, estimate);
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
    public void endpointRestarted(FailureDomain shard, EndpointLife later) {
        delegate.endpointRestarted(shard, later);
    }

    @Override
    public void movedToNeighbour(JobId job, NodeId holder) {
        delegate.movedToNeighbour(job, holder);
    }

    @Override
    public void returnedByNeighbour(JobId job, NodeId holder) {
        delegate.returnedByNeighbour(job, holder);
    }
}
