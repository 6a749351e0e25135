package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.Timers;

/** A coordinator driven as by the real node: periodic reviews, losses of peers and received messages. */
final class FakeNode implements PeerSender {
    /** The time that a node waits for its peers' statuses after its start before it claims shards, in milliseconds. */
    private static final long DISCOVERY_MILLIS = 200;

    /** How long a cancelled job stays cancelled, in milliseconds. */
    private static final long CANCELLED_MILLIS = 120_000;

    /** How long a node waits for the answers of peers that it has asked to cancel a job, in milliseconds. */
    private static final long CANCEL_TIMEOUT_MILLIS = 400;

    private final NodeId id;
    private final FailureDomain domain;
    private final Timers timers;
    private final FakeConnections connections;
    private final FakeCancellationRows cancellationRows;
    private final Coordinator coordinator;
    private final Inbox inbox;
    private final ClaimCounter claimCounter = new ClaimCounter();
    private final CancellationRepeats repeats = new CancellationRepeats();
    private long startedAtMillis;

    FakeNode(
            Member self,
            ShardPools pools,
            EndpointList endpoints,
            EndpointOrders orders,
            Timers timers,
            LongSupplier wallMillis,
            Inbox inbox,
            FakeConnections connections,
            FakeCancellationRows cancellationRows) {
        this.id = self.node();
        this.domain = self.domain();
        this.timers = timers;
        this.inbox = inbox;
        this.connections = connections;
        this.cancellationRows = cancellationRows;
        this.coordinator = new Coordinator(
                self,
                self.address().ip(),
                pools,
                endpoints,
                PlacingSettings.of(1_000, 50),
                orders,
                this,
                timers,
                wallMillis,
                new CancelledJobs(timers, CANCELLED_MILLIS),
                claimCounter);
    }

    NodeId id() {
        return id;
    }

    /** Returns where frames and other events from outside arrive. */
    Inbox inbox() {
        return inbox;
    }

    Coordinator coordinator() {
        return coordinator;
    }

    /** Returns whether the peer is reachable according to this node's peer table. */
    boolean reaches(FakeNode peer) {
        return coordinator.peers().reachable().stream()
                .anyMatch(status -> status.node().equals(peer.id));
    }

    /** Returns how often this node has claimed a shard. */
    int claims() {
        return claimCounter.claims;
    }

    /** Returns how often an endpoint has rejected this node's token. */
    int fencings() {
        return claimCounter.fencings;
    }

    void start(QueueCatalog catalog) {
        startedAtMillis = timers.nowMillis();
        coordinator.applyConfiguration(catalog);
        timers.schedule(FakeCancellationRows.CALL_MILLIS, () -> cancellationRows.read(id, this::cancel));
        review();
    }

    /** Handles the close of a connection; returns whether the others with the same peer must be closed too. */
    boolean connectionLost(NodeId peer) {
        repeats.connectionLost();
        return coordinator.connectionLost(peer);
    }

    /** Handles the loss of a peer with which no connection is open and none can be opened. */
    void disconnected(NodeId peer) {
        if (coordinator.peers().recordConnectionLost(peer)) {
            lost(peer);
        }
    }

    private void review() {
        coordinator.peers().takeOverdue(timers.nowMillis()).forEach(overdue -> connections.disconnect(id, overdue));
        coordinator.peers().expire(timers.nowMillis()).forEach(silent -> {
            connections.disconnect(id, silent);
            lost(silent);
        });
        coordinator.review(isSettled());
        for (NodeId holder : repeats.takeDue(coordinator.peers().holders(), timers.nowMillis())) {
            repeatedCancellations().forEach(frame -> connections.send(id, holder, frame));
        }
        timers.schedule(PeerTable.STATUS_PERIOD_MILLIS / 2, this::review);
    }

    private void lost(NodeId peer) {
        coordinator.peerLost(peer);
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
        coordinator.statusReceived(status);
        reviewShards();
        coordinator.placeWaitingJobs();
    }

    /**
     * Returns the first frames on a connection to the peer: a list of this node's jobs that are open there, and the
     * offers that may have been lost.
     */
    ImmutableList<FakeConnections.Frame> firstFrames(NodeId peer) {
        ImmutableSet<JobId> open = coordinator.router().openJobsAt(peer);
        ImmutableList.Builder<FakeConnections.Frame> frames = ImmutableList.builder();
        frames.add(new FakeConnections.Frame(
                receiver -> receiver.coordinator.originMessages().openJobsReceived(id, open), () -> {}));
        frames.addAll(repeatedCancellations());
        coordinator.router().offersToSendAgain(peer).forEach(offer -> frames.add(offered(peer, offer)));
        return frames.build();
    }

    private ImmutableList<FakeConnections.Frame> repeatedCancellations() {
        ImmutableList.Builder<FakeConnections.Frame> frames = ImmutableList.builder();
        coordinator
                .router()
                .latestCancelled(CancelSource.CLIENT)
                .forEach(job -> frames.add(cancellation(job, CancelSource.PEER)));
        coordinator
                .router()
                .latestCancelled(CancelSource.PEER)
                .forEach(job -> frames.add(cancellation(job, CancelSource.REPETITION)));
        return frames.build();
    }

    private static FakeConnections.Frame cancellation(JobId job, CancelSource source) {
        return new FakeConnections.Frame(receiver -> receiver.cancel(job, source), () -> {});
    }

    @Override
    public void sendStatus(NodeId to, NodeStatus status) {
        connections.send(id, to, new FakeConnections.Frame(peer -> peer.received(status), () -> {}));
    }

    @Override
    public void sendStatusToAll(NodeStatus status) {
        for (FakeNode node : connections.nodes()) {
            if (node != this) {
                sendStatus(node.id, status);
            }
        }
    }

    @Override
    public void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status) {
        for (FakeNode node : connections.nodes()) {
            if (node != this && domains.contains(node.domain)) {
                sendStatus(node.id, status);
            }
        }
    }

    @Override
    public void sendOffer(NodeId to, Offer offer) {
        connections.send(id, to, offered(to, offer));
    }

    private FakeConnections.Frame offered(NodeId to, Offer offer) {
        connections.offerObserver.accept(offer);
        connections.observe(
                id, to, "offer " + offer.number() + " of " + offer.job().id() + " " + offer.terms());
        return new FakeConnections.Frame(
                peer -> peer.coordinator.originMessages().offerReceived(offer),
                () -> coordinator.router().offerNotSent(to, offer.job().id()));
    }

    /** Sends a withdrawal; as in the real node, an undelivered withdrawal is not retried. */
    @Override
    public void sendWithdrawal(NodeId to, JobId job) {
        connections.observe(id, to, "withdrawal of " + job);
        connections.send(
                id,
                to,
                new FakeConnections.Frame(
                        peer -> peer.coordinator.originMessages().withdrawalReceived(id, job), () -> {}));
    }

    @Override
    public void sendVerdict(NodeId to, JobVerdict verdict) {
        connections.observe(id, to, verdict.toString());
        connections.reply(
                id,
                to,
                new FakeConnections.Frame(peer -> peer.coordinator.router().settled(id, verdict), () -> {}));
    }

    @Override
    public void sendCancellation(NodeId to, JobId job) {
        connections.observe(id, to, "cancellation of " + job);
        connections.reply(id, to, cancellation(job, CancelSource.PEER));
    }

    /**
     * Cancels a job at this node, and asks every other node to cancel it, as for a client.
     *
     * @param acknowledged callback run when all others and the store have answered, or one of them is late
     */
    void cancelEverywhere(JobId job, Runnable acknowledged) {
        cancel(job, CancelSource.CLIENT);
        cancellationRows.add(id, job);
        Set<NodeId> unanswered = new HashSet<>();
        connections.nodes().forEach(node -> unanswered.add(node.id));
        unanswered.remove(id);
        timers.schedule(CANCEL_TIMEOUT_MILLIS, () -> {
            if (!unanswered.isEmpty()) {
                for (NodeId node : ImmutableList.copyOf(unanswered)) {
                    connections.disconnect(id, node);
                    askToCancel(node, job, () -> {});
                }
                acknowledged.run();
            }
        });
        boolean[] isStored = {false};
        timers.schedule(FakeCancellationRows.CALL_MILLIS, () -> {
            isStored[0] = true;
            if (unanswered.isEmpty()) {
                acknowledged.run();
            }
        });
        for (NodeId node : ImmutableList.copyOf(unanswered)) {
            askToCancel(node, job, () -> {
                if (unanswered.remove(node) && unanswered.isEmpty() && isStored[0]) {
                    acknowledged.run();
                }
            });
        }
    }

    private void askToCancel(NodeId node, JobId job, Runnable answered) {
        connections.observe(id, node, "cancellation of " + job);
        FakeConnections.Frame answer = new FakeConnections.Frame(asking -> answered.run(), () -> {});
        connections.send(
                id,
                node,
                new FakeConnections.Frame(
                        peer -> {
                            peer.cancel(job, CancelSource.PEER);
                            connections.reply(node, id, answer);
                        },
                        () -> {}));
    }

    /** Cancels a job at this node only. */
    void cancel(JobId job, CancelSource source) {
        coordinator.router().cancel(job, source);
        coordinator.originMessages().jobCancelled(job);
    }

    /** Counts the claims of this node and those that endpoints have ended. */
    private static final class ClaimCounter implements ShardObserver {
        private int claims;
        private int fencings;

        @Override
        public void claimed(FailureDomain shard, FencingToken token, int endpoints) {
            claims++;
        }

        @Override
        public void fenced(FailureDomain shard, FencingToken token) {
            fencings++;
        }
    }
}
