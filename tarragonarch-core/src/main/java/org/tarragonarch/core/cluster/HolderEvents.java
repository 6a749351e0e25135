package org.tarragonarch.core.cluster;

import java.util.function.Supplier;
import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.core.shard.ForwardingShardObserver;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardOwnershipListener;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Verdict;

/** Forwards events of the shards that this node holds to peers, to this node's own router and to an observer. */
final class HolderEvents extends ForwardingShardObserver implements ShardOwnershipListener {
    private final NodeId self;
    private final PeerTable peers;
    private final PeerSender sender;
    private final StatusSender statusSender;
    private final ReceivedOffers offers;
    private final Supplier<JobRouter> router;
    private final Runnable holdersChanged;

    /**
     * Creates the events of one node.
     *
     * @param offers the offers that this node has received as a holder
     * @param router returns the router of the jobs of this node's clients
     * @param holdersChanged callback run after this node has lost a shard to another holder
     */
    HolderEvents(
            NodeId self,
            PeerTable peers,
            PeerSender sender,
            StatusSender statusSender,
            ReceivedOffers offers,
            Supplier<JobRouter> router,
            Runnable holdersChanged,
            ShardObserver observer) {
        super(observer);
        this.self = self;
        this.peers = peers;
        this.sender = sender;
        this.statusSender = statusSender;
        this.offers = offers;
        this.router = router;
        this.holdersChanged = holdersChanged;
    }

    @Override
    public void allShardsReleased() {
        statusSender.sendNow(Heartbeats.Audience.ALL);
    }

    @Override
    public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
        offers.settle(origin, job, verdict, retryMillis).ifPresent(settled -> sendVerdict(origin, settled));
    }

    /** Sends a verdict to the origin of the job, which may be this node. */
    void sendVerdict(NodeId origin, JobVerdict verdict) {
        if (origin.equals(self)) {
            router.get().settled(origin, verdict);
        } else {
            sender.sendVerdict(origin, verdict);
        }
    }

    /** Tells the origin of an offered job that a client has cancelled the job. */
    void sendCancellation(NodeId origin, JobId job) {
        sender.sendCancellation(origin, job);
    }

    /** Returns whether a client has cancelled the job recently. */
    boolean isCancelled(JobId job) {
        return router.get().isCancelled(job);
    }

    boolean isSelf(NodeId node) {
        return node.equals(self);
    }

    @Override
    public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
        peers.recordClaim(shard, token);
        super.claimed(shard, token, endpoints);
    }

    @Override
    public void fenced(FailureDomain shard, FencingToken token) {
        super.fenced(shard, token);
        holdersChanged.run();
    }
}
