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
import org.tarragonarch.model.task.Verdict;

/** Forwards events of the shards that this node holds to peers, to this node's own router and to an observer. */
final class HolderEvents extends ForwardingShardObserver implements ShardOwnershipListener {
    private final NodeId self;
    private final PeerTable peers;
    private final PeerSender sender;
    private final StatusSender statusSender;
    private final Supplier<JobRouter> router;
    private final Runnable holdersChanged;

    /**
     * Creates the events of one node.
     *
     * @param router returns the router of the jobs of this node's clients
     * @param holdersChanged callback run after this node has lost a shard to another holder
     */
    HolderEvents(
            NodeId self,
            PeerTable peers,
            PeerSender sender,
            StatusSender statusSender,
            Supplier<JobRouter> router,
            Runnable holdersChanged,
            ShardObserver observer) {
        super(observer);
        this.self = self;
        this.peers = peers;
        this.sender = sender;
        this.statusSender = statusSender;
        this.router = router;
        this.holdersChanged = holdersChanged;
    }

    @Override
    public void allShardsReleased() {
        statusSender.sendNow(Heartbeats.Audience.ALL);
    }

    @Override
    public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
        if (origin.equals(self)) {
            router.get().settled(origin, job, verdict, retryMillis);
        } else {
            sender.sendVerdict(origin, job, verdict, retryMillis);
        }
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
