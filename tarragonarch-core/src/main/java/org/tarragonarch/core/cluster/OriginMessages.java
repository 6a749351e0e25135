package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.core.shard.ShardOwnership;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;

/** Handles the messages of origins at a holder: offers of jobs, and what becomes of these at their origins. */
public final class OriginMessages {
    private final ShardOwnership ownership;
    private final ReceivedOffers offers;
    private final ReceivedEchoes echoes;
    private final HolderEvents events;

    OriginMessages(ShardOwnership ownership, ReceivedOffers offers, ReceivedEchoes echoes, HolderEvents events) {
        this.ownership = ownership;
        this.offers = offers;
        this.echoes = echoes;
        this.events = events;
    }

    /**
     * Handles an offer; returns the job to its origin if this node holds no shards.
     *
     * <p>An offer that was settled before gets the same verdict again. The origin of a cancelled job is told of the
     * cancellation, which it has missed.
     */
    public void offerReceived(Offer offer) {
        echoes.received(offer.origin(), offer.lastStatus());
        ownership.messageReceivedFrom(offer.origin());
        Optional<JobVerdict> given = offers.record(offer);
        if (given.isPresent()) {
            events.sendVerdict(offer.origin(), given.get());
        } else if (events.isCancelled(offer.job().id())) {
            events.sendCancellation(offer.origin(), offer.job().id());
        } else {
            place(offer);
        }
    }

    private void place(Offer offer) {
        ownership
                .placer()
                .ifPresentOrElse(
                        placer -> placer.offer(offer),
                        () -> events.settled(offer.origin(), offer.job().id(), Verdict.RETURNED, 0));
    }

    /** Continues the jobs that wait for a message from a peer. */
    void statusReceived(NodeStatus status) {
        echoes.received(status);
        ownership.messageReceivedFrom(status.node());
    }

    /** Ends the jobs offered by a peer, except those that are still open there, and continues these. */
    public void openJobsReceived(NodeId origin, ImmutableSet<JobId> open) {
        ownership.placer().ifPresent(placer -> placer.retain(origin, open));
        ownership.messageReceivedFrom(origin);
    }

    /** Ends a job that a peer has withdrawn. */
    public void withdrawalReceived(NodeId origin, JobId job) {
        ownership.placer().ifPresent(placer -> placer.withdraw(origin, job));
    }

    /**
     * Ends a job of another origin that a client has cancelled, and tells the origin, which may have missed the
     * cancellation.
     *
     * <p>The origin is told once. Otherwise, two nodes that have offered the job to each other would do so forever.
     *
     * @return whether this node has received an offer of the job, without a verdict, from another origin
     */
    public boolean jobCancelled(JobId job) {
        Optional<NodeId> origin = offers.removeCancelled(job).filter(offering -> !events.isSelf(offering));
        origin.ifPresent(offering -> {
            withdrawalReceived(offering, job);
            events.sendCancellation(offering, job);
        });
        return origin.isPresent();
    }
}
