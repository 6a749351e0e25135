package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/** A coordinator among others, driven as the real node drives it: reviews, losses of peers and what arrives. */
final class FakeNode implements PeerSender {
    /** How long a node that has just started listens for its peers before it claims shards. */
    private static final long DISCOVERY_MILLIS = 200;

    private final NodeId id;
    private final FailureDomain domain;
    private final Timers timers;
    private final FakeConnections connections;
    private final Coordinator coordinator;
    private final long startedAtMillis;

    FakeNode(
            Member self,
            ShardPools pools,
            EndpointList endpoints,
            EndpointOrders orders,
            Timers timers,
            FakeConnections connections) {
        this.id = self.node();
        this.domain = self.domain();
        this.timers = timers;
        this.connections = connections;
        this.startedAtMillis = timers.nowMillis();
        this.coordinator = new Coordinator(
                self,
                self.address().ip(),
                pools,
                endpoints,
                PlacingSettings.of(1_000, 50),
                orders,
                this,
                timers,
                timers::nowMillis,
                new ShardObserver() {});
    }

    NodeId id() {
        return id;
    }

    Coordinator coordinator() {
        return coordinator;
    }

    /** Returns whether this node has a peer in its table as reachable. */
    boolean reaches(FakeNode peer) {
        return coordinator.peers().present().stream()
                .anyMatch(status -> status.node().equals(peer.id));
    }

    void start(QueueCatalog catalog) {
        coordinator.configured(catalog);
        review();
    }

    /** Notes that the last connection with a peer has closed. */
    void disconnected(NodeId peer) {
        if (coordinator.peers().lost(peer)) {
            lost(peer);
        }
    }

    private void review() {
        coordinator.peers().expire(timers.nowMillis()).forEach(this::lost);
        coordinator.review(isSettled());
        timers.schedule(PeerTable.STATUS_PERIOD_MILLIS / 2, this::review);
    }

    private void lost(NodeId peer) {
        connections.disconnect(id, peer);
        coordinator.lost(peer);
        reviewShards();
    }

    private boolean isSettled() {
        return timers.nowMillis() - startedAtMillis >= DISCOVERY_MILLIS;
    }

    private void reviewShards() {
        if (isSettled()) {
            coordinator.reviewShards();
        }
    }

    private void received(NodeStatus status) {
        coordinator.received(status);
        reviewShards();
        coordinator.routeWaiting();
    }

    /** Returns the frame that goes first on a connection to the peer: the jobs that are open there. */
    FakeConnections.Frame firstFrame(NodeId peer) {
        ImmutableSet<JobId> open = coordinator.router().openAt(peer);
        return new FakeConnections.Frame(receiver -> receiver.coordinator.openJobs(id, open), () -> {});
    }

    @Override
    public void status(NodeId to, NodeStatus status) {
        connections.send(id, to, new FakeConnections.Frame(peer -> peer.received(status), () -> {}));
    }

    @Override
    public void statusToAll(NodeStatus status) {
        for (FakeNode node : connections.nodes()) {
            if (node != this) {
                status(node.id, status);
            }
        }
    }

    @Override
    public void statusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status) {
        for (FakeNode node : connections.nodes()) {
            if (node != this && domains.contains(node.domain)) {
                status(node.id, status);
            }
        }
    }

    @Override
    public void offer(NodeId to, Offer offer) {
        connections.send(
                id,
                to,
                new FakeConnections.Frame(
                        peer -> peer.coordinator.offered(offer),
                        () -> coordinator.router().notOffered(to, offer.job().id())));
    }

    /** Sends a withdrawal; as in the real node, nothing follows if it is given back as undelivered. */
    @Override
    public void withdraw(NodeId to, JobId job) {
        connections.send(id, to, new FakeConnections.Frame(peer -> peer.coordinator.withdrawn(id, job), () -> {}));
    }

    @Override
    public void settled(NodeId to, JobId job, Verdict verdict, long retryMillis) {
        connections.reply(
                id,
                to,
                new FakeConnections.Frame(
                        peer -> peer.coordinator.router().settled(id, job, verdict, retryMillis), () -> {}));
    }
}
