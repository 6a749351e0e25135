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
import org.tarragonarch.core.cluster.Coordinator;
import org.tarragonarch.core.follow.FollowPace;
import org.tarragonarch.core.follow.TableFollower;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;
import org.tarragonarch.wire.CancelAsked;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.EndpointsAsked;
import org.tarragonarch.wire.Hello;
import org.tarragonarch.wire.NodesAsked;

/**
 * One node on the users' platform.
 *
 * <p>Everything runs on one event loop: it reads and writes every connection, and it is the thread that decides. So
 * nothing here needs a lock, and a request costs no hand-over between threads.
 */
final class ClusterNode implements PeerCalls {
    /** How often shards, peers and endpoints are reviewed, in milliseconds; half the time between statuses. */
    private static final long REVIEW_MILLIS = PeerTable.STATUS_PERIOD_MILLIS / 2;

    /**
     * How often the store says that there is no newer configuration, within the time in which a change must be in
     * force. Right after a change a node knows no more than that of the call before, so two waits and their answers
     * have to fit.
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
    private final CancelRounds cancels = new CancelRounds(timers);
    private final NodeMeters meters;
    private final Coordinator coordinator;
    private final Neighbourhood neighbourhood;
    private final EndpointRows endpointRows;
    private final RowStore store;
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
                new ShardLog(log, meters));
        meters.watchSpeeds(coordinator::speeds);
        meters.watchDrainedDomains(() -> coordinator.drained().domains().size());
        meters.watchShares(settings.shares(), coordinator::shareStates, coordinator::remoteUsageByPriority);
        this.store = new StoreClient(loop, settings.storeAddress());
        this.endpointRows = new EndpointRows(endpoints, coordinator::endpointsChanged, timers, log, meters);
        this.neighbourhood = new Neighbourhood(settings.member(), store, exchange, coordinator, timers, log);
    }

    /** Opens everything, the servers for clients last. */
    void start() throws StepException {
        Incarnation run = Incarnation.of(System.currentTimeMillis());
        exchange.open(group, settings.peerAddress(), Hello.of(settings.node(), run, settings.domain()));
        NodeJobs jobs = new NodeJobs(
                configuration,
                coordinator.router(),
                this::askCancel,
                cancels,
                timers,
                log,
                meters,
                this::ready,
                () -> leaving);
        HttpListeners.openForReadiness(group, settings.readinessAddress(), jobs);
        HttpListeners.openForClients(group, settings.clientAddress(), jobs);
        Address pages = new Address(settings.ip(), settings.metricsPort());
        HttpListeners.openForPages(group, pages, ImmutableMap.of("/metrics", meters::scrape));
        loop.execute(this::begin);
        log.line(NodeEvent.NODE_STARTED, "domain", settings.domain(), "run", run);
    }

    /** Leaves: not ready at once, shards handed over, jobs finished, and out before the process would be killed. */
    void leave() {
        loop.execute(() -> {
            if (leaving) {
                return;
            }
            leaving = true;
            log.line(NodeEvent.NODE_LEAVING, "open-jobs", openJobs(), "shards", coordinator.heldShardCount());
            coordinator.leave();
            new Departure(coordinator.router(), timers, log, settings.shutdownMillis()).begin();
        });
    }

    /** Ends at once and without notice, as a killed process would; the process itself goes on. */
    void abort() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private int openJobs() {
        return coordinator.router().openJobs();
    }

    private boolean ready() {
        return !leaving && configuration.version() > 0 && coordinator.hasReachableHolder();
    }

    private void begin() {
        neighbourhood.find();
        OperatorRows operatorRows = new OperatorRows(
                configuration,
                this::configured,
                reading -> coordinator.drained(reading, ConfigurationInForce.STORE),
                timers,
                log,
                meters);
        FollowPace configurationPace =
                FollowPace.longPolling(Math.round(settings.configurationMillis() / CONFIRMATIONS_PER_BOUND));
        new TableFollower(store, StoreTable.OPERATOR, timers, operatorRows, configurationPace).start();
        endpointRows.follow(store);
        review();
    }

    private void configured() {
        configuration.catalog().ifPresent(coordinator::applyConfiguration);
    }

    private void review() {
        for (NodeId silent : coordinator.peers().expire(timers.nowMillis())) {
            lost(silent, "silent");
        }
        coordinator.review(neighbourhood.isKnown());
        neighbourhood.refresh();
        endpointRows.readAs(coordinator.endpointListNeed());
        timers.schedule(REVIEW_MILLIS, this::review);
    }

    private void reviewShards() {
        if (neighbourhood.isKnown()) {
            coordinator.reviewShards();
        }
    }

    /** Asks every node that is known of whether it has a job to cancel; returns how many they are. */
    private int askCancel(JobId job) {
        ImmutableList<Member> located = exchange.located();
        located.forEach(peer -> exchange.send(peer.node(), new CancelAsked(job)));
        return located.size();
    }

    private void lost(NodeId peer, String reason) {
        log.line(NodeEvent.PEER_LOST, "peer", peer, "reason", reason);
        exchange.disconnect(peer, "the peer was lost");
        coordinator.peerLost(peer);
        reviewShards();
        endpointRows.readAs(coordinator.endpointListNeed());
    }

    @Override
    public void status(NodeStatus status) {
        boolean joined = coordinator.statusReceived(status);
        if (joined) {
            log.line(NodeEvent.PEER_JOINED, "peer", status.node(), "domain", status.domain());
        }
        if (status.configurationVersion() > configuration.version()) {
            ConfigurationVersion wanted = ConfigurationVersion.of(status.configurationVersion());
            exchange.send(status.node(), new ConfigurationAsked(wanted));
        }
        if (endpoints.isEmpty() && joined) {
            exchange.send(status.node(), new EndpointsAsked());
        }
        if (!neighbourhood.isLocated() && joined) {
            exchange.send(status.node(), new NodesAsked());
        }
        reviewShards();
        coordinator.placeWaitingJobs();
    }

    @Override
    public void disconnected(NodeId peer) {
        if (coordinator.peers().recordConnectionLost(peer)) {
            lost(peer, "disconnected");
        }
    }

    @Override
    public void offered(Offer offer) {
        coordinator.offerReceived(offer);
    }

    @Override
    public void offerNotSent(NodeId peer, JobId job) {
        coordinator.router().offerNotSent(peer, job);
    }

    @Override
    public void verdictCame(NodeId holder, JobId job, Verdict verdict, long retryMillis) {
        coordinator.router().settled(holder, job, verdict, retryMillis);
    }

    @Override
    public void withdrawn(NodeId peer, JobId job) {
        coordinator.withdrawalReceived(peer, job);
    }

    @Override
    public void openJobs(NodeId peer, ImmutableSet<JobId> open) {
        coordinator.openJobsReceived(peer, open);
    }

    @Override
    public ImmutableSet<JobId> openJobsAt(NodeId peer) {
        return coordinator.router().openJobsAt(peer);
    }

    @Override
    public boolean cancelled(JobId job) {
        return coordinator.router().cancel(job);
    }

    @Override
    public void cancelAnswered(JobId job, boolean known) {
        cancels.answered(job, known);
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
    public void configurationGiven(NodeId peer, byte[] text) {
        if (configuration.offered(text, peer.value())) {
            configured();
        }
    }

    @Override
    public ImmutableList<EndpointEntry> endpoints() {
        return endpoints.all();
    }

    @Override
    public void endpointsGiven(ImmutableList<EndpointEntry> given) {
        if (endpoints.isEmpty()) {
            given.forEach(endpoints::recordFromPeer);
            coordinator.endpointsChanged();
        }
    }

    @Override
    public void nodesGiven(ImmutableList<Member> nodes) {
        neighbourhood.learned(nodes);
    }
}
