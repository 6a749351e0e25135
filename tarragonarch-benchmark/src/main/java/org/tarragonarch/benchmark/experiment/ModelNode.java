package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.core.cluster.Coordinator;
import org.tarragonarch.core.cluster.PeerSender;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;

/** One incarnation of a node: the core's coordinator with simulated links to its peers and to the endpoints. */
final class ModelNode implements PeerSender {
    private static final int MILLI_CORES = 750;
    private static final int PEER_PORT = 7_000;
    private static final PlacingSettings PLACING = PlacingSettings.of(1_000, 50);

    /** The time in which a started node discovers its peers before it claims shards. */
    private static final long DISCOVERY_MILLIS = 200;

    private final NodeId id;
    private final int domain;
    private final Cluster cluster;
    private final ExperimentTimers timers;
    private final Coordinator coordinator;
    private final long startedAtMillis;
    private boolean cutOff;

    ModelNode(Cluster cluster, VirtualTime time, int domain, int number) {
        this.cluster = cluster;
        this.domain = domain;
        this.id = NodeId.of("node-" + domain + "-" + number);
        this.timers = new ExperimentTimers(time);
        this.startedAtMillis = timers.nowMillis();
        String ip = "10." + domain + ".0." + number;
        Member self = new Member(id, cluster.domain(domain), new Address(ip, PEER_PORT), MILLI_CORES);
        this.coordinator = new Coordinator(
                self,
                ip,
                new ShardPools(cluster.regions(), cluster.endpointList()),
                cluster.endpointList(),
                PLACING.withShares(cluster.shares()),
                cluster.orders(timers, domain),
                this,
                timers,
                () -> TimeUnit.NANOSECONDS.toMillis(time.nowNanos()) + TimeUnit.HOURS.toMillis(1),
                new CancelledJobs(timers, TimeUnit.MINUTES.toMillis(2)),
                cluster.moveCount());
    }

    NodeId id() {
        return id;
    }

    int domain() {
        return domain;
    }

    Coordinator coordinator() {
        return coordinator;
    }

    boolean isAlive() {
        return !timers.stopped();
    }

    void start() {
        coordinator.applyConfiguration(cluster.catalog());
        review();
    }

    void kill() {
        timers.stop();
    }

    ExperimentTimers timers() {
        return timers;
    }

    void pause() {
        timers.pause();
    }

    void resume() {
        timers.resume();
    }

    void cutOff(boolean isCutOff) {
        cutOff = isCutOff;
    }

    boolean isCutOff() {
        return cutOff;
    }

    /** Returns whether the load balancer sends clients to this node. */
    boolean inRotation() {
        return !coordinator.status().leaving();
    }

    /** Handles the loss of the connections to a peer. */
    void connectionLost(NodeId peer) {
        if (isAlive() && coordinator.peers().recordConnectionLost(peer)) {
            peerLost(peer);
        }
    }

    private void review() {
        cluster.endpointList().recordCurrentAsOf(timers.nowMillis());
        coordinator.peers().expire(timers.nowMillis()).forEach(this::peerLost);
        coordinator.review(discoveryOver());
        timers.schedule(PeerTable.STATUS_PERIOD_MILLIS / 2, this::review);
    }

    private boolean discoveryOver() {
        return timers.nowMillis() - startedAtMillis >= DISCOVERY_MILLIS;
    }

    private void peerLost(NodeId peer) {
        coordinator.peerLost(peer);
        reviewShards();
    }

    private void reviewShards() {
        if (discoveryOver()) {
            coordinator.reviewShards();
        }
    }

    void statusReceived(NodeStatus status) {
        coordinator.statusReceived(status);
        reviewShards();
        coordinator.placeWaitingJobs();
    }

    @Override
    public void sendStatus(NodeId to, NodeStatus status) {
        cluster.deliver(this, to, peer -> peer.statusReceived(status));
    }

    @Override
    public void sendStatusToAll(NodeStatus status) {
        cluster.otherNodes(id).forEach(peer -> sendStatus(peer, status));
    }

    @Override
    public void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status) {
        cluster.otherNodes(id, domains).forEach(peer -> sendStatus(peer, status));
    }

    @Override
    public void sendOffer(NodeId to, Offer offer) {
        if (!cluster.deliver(this, to, peer -> peer.coordinator.originMessages().offerReceived(offer))) {
            timers.schedule(
                    0, () -> coordinator.router().offerNotSent(to, offer.job().id()));
        }
    }

    @Override
    public void sendWithdrawal(NodeId to, JobId job) {
        cluster.deliver(this, to, peer -> peer.coordinator.originMessages().withdrawalReceived(id, job));
    }

    @Override
    public void sendVerdict(NodeId to, JobVerdict verdict) {
        cluster.deliver(this, to, peer -> peer.coordinator.router().settled(id, verdict));
    }

    @Override
    public void sendCancellation(NodeId to, JobId job) {
        cluster.deliver(this, to, peer -> peer.coordinator.router().cancel(job, CancelSource.PEER));
    }
}
