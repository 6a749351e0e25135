package org.tarragonarch.core.cluster;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.function.LongSupplier;
import org.tarragonarch.core.placing.Placer;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.HolderElection;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardOwnership;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.Timers;

/**
 * Coordinates one node with its peers: holds shards, offers its clients' jobs to holders, and sends its status.
 *
 * <p>All methods must be called on one thread. Time, peers and endpoints are accessed only through interfaces.
 */
public final class Coordinator {
    private final Member self;
    private final Timers timers;
    private final PeerTable peers = new PeerTable();
    private final RemoteUsage remoteUsage = new RemoteUsage();
    private final EndpointList endpoints;
    private final ReceivedEchoes echoes;
    private final Heartbeats heartbeats;
    private final HolderElection election;
    private final ShardOwnership ownership;
    private final StatusSender statusSender;
    private final DomainDrains drains;
    private final OriginMessages originMessages;
    private final JobRouter router;
    private ImmutableSet<FailureDomain> neighbourDomains;

    /**
     * Creates the coordinator of a node that has no known peers and holds no shards.
     *
     * @param ip this VM's IP address, which distinguishes its tokens from those of other nodes
     * @param endpoints the endpoints that the platform lists; call {@link #endpointsChanged} after each change
     * @param wallMillis the wall clock, from which terms are derived so that they increase across restarts
     * @param cancelled the jobs that clients have cancelled, through whichever node
     * @param log observer of the shards and of the jobs placed on them
     */
    public Coordinator(
            Member self,
            String ip,
            ShardPools pools,
            EndpointList endpoints,
            PlacingSettings placing,
            EndpointOrders orders,
            PeerSender sender,
            Timers timers,
            LongSupplier wallMillis,
            CancelledJobs cancelled,
            ShardObserver log) {
        this.self = checkNotNull(self, "self");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        checkNotNull(sender, "sender");
        this.timers = checkNotNull(timers, "timers");
        checkNotNull(log, "log");
        this.election = new HolderElection(self.node(), self.domain(), ip, self.milliCores(), peers, pools);
        this.heartbeats = new Heartbeats(peers, pools, self.domain());
        this.echoes = new ReceivedEchoes(self.node(), timers, wallMillis, log);
        this.statusSender = new StatusSender(self, heartbeats, this::held, peers, echoes, sender, timers);
        this.drains = new DomainDrains(statusSender, endpoints, log);
        long maxRunMillisAfterContact = ReceivedEchoes.AUTHORITY_MILLIS + placing.leaseExpiry();
        ReceivedOffers offers = new ReceivedOffers(timers, maxRunMillisAfterContact);
        HolderEvents events = new HolderEvents(
                self.node(), peers, sender, statusSender, offers, this::router, this::holdersChanged, log);
        this.ownership =
                new ShardOwnership(pools, election, endpoints, placing, orders, timers, wallMillis, echoes, events);
        this.originMessages = new OriginMessages(ownership, offers, echoes, events);
        this.neighbourDomains = heartbeats.neighbourDomains();
        KnownHolders holders = new KnownHolders(
                self,
                peers,
                pools,
                ownership,
                heartbeats,
                sender,
                echoes,
                timers,
                originMessages::offerReceived,
                domain -> drained().contains(domain));
        long startMillis = wallMillis.getAsLong();
        this.router = new JobRouter(holders, timers, maxRunMillisAfterContact, startMillis, cancelled, log);
    }

    /** Returns the table of peers. */
    public PeerTable peers() {
        return peers;
    }

    /** Returns the handler of the messages of origins that have offered jobs to this node. */
    public OriginMessages originMessages() {
        return originMessages;
    }

    /** Returns the router of the jobs of this node's clients. */
    public JobRouter router() {
        return router;
    }

    /** Returns the state of every share in the shards that this node holds. */
    public ImmutableList<ShareState> shareStates() {
        return ownership.placer().map(Placer::shareStates).orElse(ImmutableList.of());
    }

    /** Returns the usage of other holders' shards by share priority, in thousandths of a core, from recent statuses. */
    public ImmutableMap<Integer, Long> remoteUsageByPriority() {
        return remoteUsage.byPriority(timers.nowMillis());
    }

    /** Returns the number of shards that this node holds. */
    public int heldShardCount() {
        return ownership.heldShards().size();
    }

    /** Returns a summary of the speeds of the endpoints in the shards that this node holds. */
    public SpeedSummary speeds() {
        return ownership.speedSummary();
    }

    /** Returns how recent a list of endpoints this node needs. */
    public EndpointListNeed endpointListNeed() {
        boolean mayHold = ownership.isHolding() || heartbeats.isMissingHolder() || election.isSuccessor(self.domain());
        return EndpointListNeed.of(ownership.isListReadSinceClaims(), mayHold);
    }

    /** Returns the failure domains whose nodes may succeed this node as a holder, or be succeeded by it. */
    public ImmutableSet<FailureDomain> neighbourDomains() {
        return heartbeats.neighbourDomains();
    }

    /** Returns the last status of every reachable neighbour. */
    public ImmutableList<NodeStatus> reachableNeighbours() {
        return heartbeats.reachableNeighbours();
    }

    /** Returns whether any shard has a reachable holder, which may be this node. */
    public boolean hasReachableHolder() {
        return ownership.isHolding() || !peers.holders().isEmpty();
    }

    /**
     * Reviews shards, runs and peers; must be called every half {@link PeerTable#STATUS_PERIOD_MILLIS}.
     *
     * @param mayClaim whether this node knows enough of its peers to claim shards
     */
    public void review(boolean mayClaim) {
        long now = timers.nowMillis();
        if (endpoints.expire(now)) {
            endpointsChanged();
        }
        boolean isPauseOver = echoes.reviewed();
        ownership.messageReceivedFrom(self.node());
        if (isPauseOver) {
            router.holdersChanged();
        }
        ownership.reviewRuns();
        if (mayClaim) {
            reviewShards();
        }
        reviewHeartbeats();
        statusSender.sendDue();
    }

    /** Sends the status at once if a shard of the pool has just lost its holder. */
    private void reviewHeartbeats() {
        if (heartbeats.review(ownership.heldShards(), timers.nowMillis())) {
            statusSender.sendNow();
        }
    }

    /** Claims and releases shards according to the reachable peers. */
    public void reviewShards() {
        if (!statusSender.isLeaving() && ownership.review()) {
            holdersChanged();
        }
    }

    /** Applies the changed list of endpoints to held shards, and sends the status if the neighbours have changed. */
    public void endpointsChanged() {
        ownership.endpointsChanged();
        if (!neighbourDomains.equals(heartbeats.neighbourDomains())) {
            neighbourDomains = heartbeats.neighbourDomains();
            statusSender.sendNow();
        }
    }

    /** Records a peer's status; returns whether the peer has just become reachable. */
    public boolean statusReceived(NodeStatus received) {
        boolean joined = peers.recordStatus(received, timers.nowMillis());
        remoteUsage.statusReceived(received, timers.nowMillis());
        originMessages.statusReceived(received);
        if (joined) {
            statusSender.sendTo(received.node());
        }
        drained(received.drained(), received.node().value());
        reviewHeartbeats();
        return joined;
    }

    /** Places the jobs that have no holder; to be called after statuses were received. */
    public void placeWaitingJobs() {
        if (router.hasJobWithoutHolder()) {
            router.holdersChanged();
        }
    }

    /**
     * Handles the loss of a connection with a peer that is not lost itself.
     *
     * @return whether the other connections with the peer must be replaced too: this node and the peer exchange jobs,
     *     and a connection may have become silent without having closed
     */
    public boolean connectionLost(NodeId peer) {
        router.connectionLost(peer);
        ownership.connectionLost(peer);
        return ownership.isHolding() || peers.isReachableHolder(peer);
    }

    /** Records the loss of a peer; a peer that held jobs of this node's clients is sent a status. */
    public void peerLost(NodeId peer) {
        ownership.nodeLost(peer);
        if (router.nodeLost(peer)) {
            statusSender.sendTo(peer);
        }
    }

    /** Releases every shard and claims none from now on, because this node is about to stop. */
    public void leave() {
        statusSender.markLeaving();
        statusSender.sendNow();
        ownership.resignAll();
    }

    /** Applies the configuration in force, and sends its version to the peers. */
    public void applyConfiguration(QueueCatalog catalog) {
        statusSender.updateConfigurationVersion(catalog.version());
        endpoints.setServices(catalog.services());
        endpointsChanged();
        statusSender.sendNow();
    }

    /**
     * Sets the drained failure domains, unless the known ones are of the same or a newer version.
     *
     * <p>Guards against a drain that is undone by an older reading: the store's answers may be stale after it has lost
     * its history, and a peer that cannot reach the store sends its last known state.
     *
     * @param source the origin of the reading, for the log: the store or a peer
     */
    public void drained(DrainedDomains reading, String source) {
        if (drains.apply(reading, source)) {
            endpointsChanged();
            statusSender.sendNow();
            router.holdersChanged();
        }
    }

    /** Returns the drained failure domains, as far as this node knows. */
    public DrainedDomains drained() {
        return drains.known();
    }

    /** Returns this node's status. */
    public NodeStatus status() {
        return statusSender.status();
    }

    private ImmutableList<HeldShard> held() {
        return ownership.held();
    }

    private void holdersChanged() {
        heartbeats.review(ownership.heldShards(), timers.nowMillis());
        statusSender.sendNow(Heartbeats.Audience.ALL);
        router.holdersChanged();
    }
}
