package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;

/** The holders of shards that a job's origin can reach: the node itself, and peers over connections. */
public interface Holders {
    /**
     * Returns the reachable holders in the order in which a job is offered to them.
     *
     * <p>The holder of this node's own failure domain is first, followed by the others by descending free capacity.
     * Holders all of whose failure domains are drained are last.
     */
    ImmutableList<Holder> inPreferenceOrder();

    /**
     * Returns the holders of other failure domains nearby whose recent status shows enough free capacity.
     *
     * <p>The order is fixed, so that a choice by hash is the same at every call.
     *
     * @param milliCores the capacity required, in thousandths of a core
     */
    ImmutableList<HolderCapacity> neighboursWithCapacity(long milliCores);

    /** Returns whether the holder holds the shard of this node's own failure domain. */
    boolean holdsOwnDomain(Holder holder);

    /** Returns the number of the last status received of a node. */
    StatusNumber lastStatus(NodeId node);

    /** Returns when this node last received a status of a holder, on the steady clock in milliseconds. */
    long lastContactMillis(Holder holder);

    /**
     * Returns the shards on whose endpoints runs of a lost holder may be.
     *
     * <p>These are the shards that it was known to hold when a job was offered to it, and those that it may have
     * claimed since.
     */
    ImmutableSet<FailureDomain> shardsWithPossibleRuns(Holder lost);

    /**
     * Returns whether a holder has these shards, each under the highest known token.
     *
     * <p>Every run on their endpoints is then in the lists of runs that the holder has read.
     */
    boolean hasNewestTokens(Holder holder, ImmutableSet<FailureDomain> shards);

    /** Returns whether a shard without a holder is expected to be claimed shortly. */
    boolean isHolderExpected();

    /** Returns whether no holder is reachable and none is expected soon, because this node is partitioned. */
    boolean isHolderUnreachable();

    /**
     * Records that a holder could not start a job at once although its last status showed enough free capacity.
     *
     * @param milliCores the processor time that the whole job takes, in thousandths of a core
     */
    void notStartedAtOnce(Holder holder, long milliCores);

    /** Offers a job to a holder. */
    void offer(Holder holder, Offer offer);

    /** Withdraws a job from a holder. */
    void withdraw(Holder holder, JobId job);

    /** Returns this node's id, which is the origin of its offers. */
    NodeId ownNode();
}
