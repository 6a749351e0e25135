package org.tarragonarch.core.shard;

import org.tarragonarch.core.placing.ForwardingPlacementObserver;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;

/** An observer that forwards every call to a delegate; subclasses override the calls that they extend. */
public abstract class ForwardingShardObserver extends ForwardingPlacementObserver implements ShardObserver {
    private final ShardObserver delegate;

    /** Creates an observer that forwards to the delegate. */
    protected ForwardingShardObserver(ShardObserver delegate) {
        super(delegate);
        this.delegate = delegate;
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
    public void clockStoodStill(long millis) {
        delegate.clockStoodStill(millis);
    }

    @Override
    public void drainChanged(FailureDomain domain, boolean isDrained, long version, String source) {
        delegate.drainChanged(domain, isDrained, version, source);
    }

    @Override
    public void movedToNeighbour(JobId job, NodeId holder) {
        delegate.movedToNeighbour(job, holder);
    }

    @Override
    public void returnedByNeighbour(JobId job, NodeId holder) {
        delegate.returnedByNeighbour(job, holder);
    }

    @Override
    public void holderLost(JobId job, NodeId holder) {
        delegate.holderLost(job, holder);
    }

    @Override
    public void offeredAgain(JobId job, NodeId holder, long sinceLossMillis) {
        delegate.offeredAgain(job, holder, sinceLossMillis);
    }

    @Override
    public void offersSentAgain(NodeId holder, int offers) {
        delegate.offersSentAgain(holder, offers);
    }

    @Override
    public void offerNotSent(JobId job, NodeId holder) {
        delegate.offerNotSent(job, holder);
    }

    @Override
    public void clientsLeft(JobId job, NodeId holder) {
        delegate.clientsLeft(job, holder);
    }
}
