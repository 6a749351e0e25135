package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;

/** The holders of shards as a job's node reaches them: itself, or a peer over a connection. */
public interface Holders {
    /**
     * Returns the reachable holders: that of this node's own failure domain first, then the one with the most
     * free room; last those all of whose failure domains are drained.
     */
    ImmutableList<Holder> inPreferenceOrder();

    /**
     * Returns the holders of other failure domains nearby that have room, by a status that is fresh.
     *
     * <p>In a fixed order, so that a choice by a hash is the same at every call.
     *
     * @param milliCores how much room, in thousandths of a core
     */
    ImmutableList<HolderCapacity> neighboursWithCapacity(long milliCores);

    /** Returns whether the holder has the endpoints of this node's own failure domain. */
    boolean holdsOwnDomain(Holder holder);

    /**
     * Returns the shards on whose endpoints a lost holder's runs may be: those that it was known to hold when a job was
     * offered to it, and those that it may have taken since.
     */
    ImmutableSet<FailureDomain> shardsWithPossibleRuns(Holder lost);

    /**
     * Returns whether a holder has these shards, each under the highest token that is known, so that whatever
     * runs on their endpoints shows on the lists that it has read.
     */
    boolean hasNewestTokens(Holder holder, ImmutableSet<FailureDomain> shards);

    /** Returns whether a shard without a holder should have one within moments. */
    boolean isHolderExpected();

    /** Returns whether this node has no holder and cannot have one soon, because it is partitioned. */
    boolean isHolderUnreachable();

    /**
     * Notes that a holder with room by its last status could not start a job at once.
     *
     * @param milliCores what the whole job takes, in thousandths of a core
     */
    void notStartedAtOnce(Holder holder, long milliCores);

    /** Offers a job to a holder. */
    void offer(Holder holder, Offer offer);

    /** Withdraws a job from a holder. */
    void withdraw(Holder holder, JobId job);

    /** Returns this node's name, under which it offers. */
    NodeId ownNode();
}
