package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.adapter.EndpointClient;
import org.tarragonarch.adapter.HttpListeners;
import org.tarragonarch.adapter.StoreClient;
import org.tarragonarch.core.cluster.CancellationRepeats;
import org.tarragonarch.core.cluster.Coordinator;
import org.tarragonarch.core.cluster.EndpointListNeed;
import org.tarragonarch.core.follow.FollowPace;
import org.tarragonarch.core.follow.TableFollower;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.wire.Hello;

/**
 * A node on the users' platform.
 *
 * <p>One event loop does all the input and output and makes all decisions, so no state needs a lock and no request is
 * handed over between threads.
 */
final class ClusterNode implements PeerFrameHandler {
    /** Interval between reviews of shards, peers and endpoints: half the status period. */
    private static final long REVIEW_MILLIS = PeerTable.STATUS_PERIOD_MILLIS / 2;

    /**
     * Number of store confirmations within the time in which a configuration change must be in force. Right after a
     * change a node knows only the result of the previous call, so two waiting calls and their answers must fit.
     */
    private static final double CONFIRMATIONS_PER_BOUND = 2.25;

    private final ClusterSettings settings;
    private final DecisionLog log;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("node"));
    private final EventLoop loop = group.next();
    private final LoopTimers timers = new LoopTimers(loop);
    private final EndpointList endpoints = new EndpointList();
    private final ConfigurationInForce configuration;
    private final PeerExchange exchange = new PeerExchange(this);
    private final JobCancellations cancellations;
    private final CancellationRepeats repeats = new CancellationRepeats();
    private final NodeMeters meters;
    private final Coordinator coordinator;
    private final PeerDiscovery discovery;
    private final PeerRequests requests;
    private final EndpointRows endpointRows;
    private final RowStore store;
    private final CancellationRows cancellationRows;
    private boolean leaving;

    ClusterNode(ClusterSettings settings, DecisionLog log) {
        this.settings = settings;
        this.log = log;
        this.configuration =
                new ConfigurationInForce(settings.configurationMillis(), timers, System::currentTimeMillis, log);
        this.meters = new NodeMeters(this::openJobs, log::droppedLines);
        meters.watchConfiguration(configuration);
        this.coordinator = new Coordinator(
                settings.member(),
                settings.ip(),
                new ShardPools(settings.regions(), endpoints),
                endpoints,
                PlacingSettings.of(settings.leaseMillis(), settings.stopMillis())
                        .withShares(settings.shares()),
                new EndpointClient(loop),
                exchange,
                timers,
                System::currentTimeMillis,
                new CancelledJobs(timers, settings.cancelledMillis()),
                new ShardLog(log, meters));
        meters.watchSpeeds(coordinator::speeds);
        meters.watchDrainedDomains(() -> coordinator.drained().domains().size());
        meters.watchShares(settings.shares(), coordinator::shareStates, coordinator::remoteUsageByPriority);
        this.store = new StoreClient(loop, settings.storeAddress());
        this.endpointRows = new EndpointRows(
                endpoints, coordinator::endpointsChanged, timers, System::currentTimeMillis, log, meters);
        this.discovery = new PeerDiscovery(settings.member(), store, exchange, coordinator, timers, log);
        this.cancellationRows = new CancellationRows(
                store, settings.node(), timers, System::currentTimeMillis, settings.cancelledMillis(), log);
        this.requests = new PeerRequests(exchange, configuration, endpoints, discovery, cancellationRows);
        PeerCancellations pending = new PeerCancellations(requests, timers, log);
        this.cancellations = new JobCancellations(coordinator.router(), coordinator.originMessages(), pending, log);
    }

    /** Opens the servers, those for clients last, and starts the work of the event loop. */
    void start() throws StepException {
        Incarnation incarnation = Incarnation.of(System.currentTimeMillis());
        exchange.open(group, settings.peerAddress(), Hello.of(settings.node(), incarnation, settings.domain()));
        NodeJobs jobs = new NodeJobs(
                configuration, coordinator.router(), cancellations, timers, log, meters, this::ready, () -> leaving);
        HttpListeners.openForReadiness(group, settings.readinessAddress(), jobs);
        HttpListeners.openForClients(group, settings.clientAddress(), jobs);
        Address pages = new Address(settings.ip(), settings.metricsPort());
        HttpListeners.openForPages(group, pages, ImmutableMap.of("/metrics", meters::scrape));
        loop.execute(this::startOnLoop);
        log.write(NodeEvent.NODE_STARTED, "domain", settings.domain(), "run", incarnation);
    }

    /** Stops being ready, hands over the shards, finishes open jobs and ends the process before it would be killed. */
    void leave() {
        loop.execute(() -> {
            if (leaving) {
                return;
            }
            leaving = true;
            log.write(NodeEvent.NODE_LEAVING, "open-jobs", openJobs(), "shards", coordinator.heldShardCount());
            coordinator.leave();
            new NodeShutdown(
                            coordinator.router(),
                            cancellations.pending(),
                            timers,
                            log,
                            settings.shutdownMillis(),
                            () -> Runtime.getRuntime().halt(0))
                    .run();
        });
    }

    /** Stops abruptly, like a killed process, but leaves the Java process running. */
    void abort() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private int openJobs() {
        return coordinator.router().openJobs();
    }

    private boolean ready() {
        return !leaving && configuration.version() > 0 && coordinator.hasReachableHolder();
    }

    private void startOnLoop() {
        discovery.start();
        cancellationRows.start(cancellations::cancel);
        OperatorRows operatorRows = new OperatorRows(
                configuration,
                this::applyConfiguration,
                drained -> coordinator.drained(drained, ConfigurationInForce.STORE),
                timers,
                log,
                meters);
        FollowPace configurationPace =
                FollowPace.longPolling(Math.round(settings.configurationMillis() / CONFIRMATIONS_PER_BOUND));
        new TableFollower(store, StoreTable.OPERATOR, timers, operatorRows, configurationPace).start();
        endpointRows.follow(store);
        review();
    }

    private void applyConfiguration() {
        configuration.catalog().ifPresent(coordinator::applyConfiguration);
    }

    private void review() {
        for (NodeId overdue : coordinator.peers().takeOverdue(timers.nowMillis())) {
            log.write(NodeEvent.PEER_OVERDUE, "peer", overdue);
            exchange.disconnect(overdue, "its status is overdue");
        }
        for (NodeId silent : coordinator.peers().expire(timers.nowMillis())) {
            exchange.disconnect(silent, "the peer was lost");
            handleLostPeer(silent, "silent");
        }
        coordinator.review(discovery.canClaimShards());
        discovery.refresh();
        reviewEndpointReads();
        repeats.takeDue(coordinator.peers().holders(), timers.nowMillis()).forEach(exchange::repeatCancellations);
        timers.schedule(REVIEW_MILLIS, this::review);
    }

    private void reviewEndpointReads() {
        EndpointListNeed need = coordinator.endpointListNeed();
        endpointRows.adjustReads(need);
        endpointRows.askPeerIfOld(need, coordinator.peers().reachable(), exchange::send);
    }

    private void reviewShards() {
        if (discovery.canClaimShards()) {
            coordinator.reviewShards();
        }
    }

    private void handleLostPeer(NodeId peer, String reason) {
        log.write(NodeEvent.PEER_LOST, "peer", peer, "reason", reason);
        coordinator.peerLost(peer);
        reviewShards();
        endpointRows.adjustReads(coordinator.endpointListNeed());
    }

    @Override
    public void statusReceived(NodeStatus status) {
        boolean joined = coordinator.statusReceived(status);
        if (joined) {
            log.write(NodeEvent.PEER_JOINED, "peer", status.node(), "domain", status.domain());
        }
        requests.askSender(status, joined);
        reviewShards();
        coordinator.placeWaitingJobs();
    }

    @Override
    public boolean connectionLost(NodeId peer) {
        repeats.connectionLost();
        return coordinator.connectionLost(peer);
    }

    @Override
    public ImmutableList<Offer> offersToSendAgain(NodeId peer) {
        return coordinator.router().offersToSendAgain(peer);
    }

    @Override
    public void disconnected(NodeId peer) {
        if (coordinator.peers().recordConnectionLost(peer)) {
            handleLostPeer(peer, "disconnected");
        }
    }

    @Override
    public void offerReceived(Offer offer) {
        coordinator.originMessages().offerReceived(offer);
    }

    @Override
    public void offerUndelivered(NodeId peer, JobId job) {
        coordinator.router().offerNotSent(peer, job);
    }

    @Override
    public void verdictReceived(NodeId holder, JobVerdict verdict) {
        coordinator.router().settled(holder, verdict);
    }

    @Override
    public void withdrawalReceived(NodeId peer, JobId job) {
        coordinator.originMessages().withdrawalReceived(peer, job);
    }

    @Override
    public void openJobsReceived(NodeId peer, ImmutableSet<JobId> open) {
        coordinator.originMessages().openJobsReceived(peer, open);
    }

    @Override
    public ImmutableSet<JobId> openJobsAt(NodeId peer) {
        return coordinator.router().openJobsAt(peer);
    }

    @Override
    public CancelFrameHandler cancellations() {
        return cancellations;
    }

    @Override
    public byte[] configurationText() {
        return configuration.text();
    }

    @Override
    public long configurationVersion() {
        return configuration.version();
    }

    @Override
    public void configurationReceived(NodeId peer, byte[] text) {
        if (configuration.updateIfNewer(text, peer.value())) {
            applyConfiguration();
        }
    }

    @Override
    public EndpointExchange endpointExchange() {
        return endpointRows.exchange();
    }

    @Override
    public void nodesReceived(ImmutableList<Member> nodes) {
        discovery.addNodes(nodes);
    }
}
