package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.routing.Holder;
import org.tarragonarch.core.routing.HolderCapacity;
import org.tarragonarch.core.routing.Holders;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;

/** A cluster in which no node holds a shard, and a holder is expected soon. */
final class NoHolders implements Holders {
    @Override
    public ImmutableList<Holder> inPreferenceOrder() {
        return ImmutableList.of();
    }

    @Override
    public ImmutableList<HolderCapacity> neighboursWithCapacity(long milliCores) {
        return ImmutableList.of();
    }

    @Override
    public boolean holdsOwnDomain(Holder holder) {
        return false;
    }

    @Override
    public StatusNumber lastStatus(NodeId node) {
        return StatusNumber.NONE;
    }

    @Override
    public long lastContactMillis(Holder holder) {
        throw new AssertionError(holder);
    }

    @Override
    public ImmutableSet<FailureDomain> shardsWithPossibleRuns(Holder lost) {
        throw new AssertionError(lost);
    }

    @Override
    public boolean hasNewestTokens(Holder holder, ImmutableSet<FailureDomain> shards) {
        throw new AssertionError(holder);
    }

    @Override
    public boolean isHolderExpected() {
        return true;
    }

    @Override
    public boolean isHolderUnreachable() {
        return false;
    }

    @Override
    public void notStartedAtOnce(Holder holder, long milliCores) {
        throw new AssertionError(holder);
    }

    @Override
    public void offer(Holder holder, Offer offer) {
        throw new AssertionError(holder);
    }

    @Override
    public void withdraw(Holder holder, JobId job) {
        throw new AssertionError(holder);
    }

    @Override
    public NodeId ownNode() {
        return NodeId.of("own");
    }
}
