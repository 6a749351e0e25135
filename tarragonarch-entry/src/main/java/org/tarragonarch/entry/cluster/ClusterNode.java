package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.adapter.ClientDoor;
import org.tarragonarch.adapter.EndpointClient;
import org.tarragonarch.adapter.StoreClient;
import org.tarragonarch.core.follow.TableFollower;
import org.tarragonarch.core.handover.JobDesk;
import org.tarragonarch.core.placing.Outlook;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.PeerBook;
import org.tarragonarch.core.shard.ShardEvents;
import org.tarragonarch.core.shard.ShardKeeper;
import org.tarragonarch.core.shard.Succession;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.NodeLocation;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Verdict;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.EndpointsAsked;
import org.tarragonarch.wire.Hello;
import org.tarragonarch.wire.JobSettled;
import org.tarragonarch.wire.NodesAsked;
import org.tarragonarch.wire.PeerNetwork;
import org.tarragonarch.wire.PeerNetworkSettings;
import org.tarragonarch.wire.StatusFrame;

/**
 * One node on the users' platform.
 *
 * <p>Everything runs on one event loop: it reads and writes every connection, and it is the thread that decides. So
 * nothing here needs a lock, and a request costs no hand-over between threads.
 */
final class ClusterNode implements PeerCalls, ShardEvents {
    /** How often shards, peers and endpoints are reviewed, in milliseconds; half the time between statuses. */
    private static final long REVIEW_MILLIS = PeerBook.STATUS_PERIOD_MILLIS / 2;

    /**
     * How long a node that knows where its peers are waits to hear them all before it claims anything, in milliseconds:
     * a connection and the statuses over it take some 50 on a node that has just started. Some may be gone for good.
     */
    private static final long DISCOVERY_MILLIS = 200;

    /** How long a node tries to learn where its peers are; with the store away it then goes on alone. */
    private static final long LONGEST_DISCOVERY_MILLIS = 1_500;

    /**
     * How often the list of endpoints is read, in milliseconds. Every endpoint writes its entry every 1.5 s, so hearing
     * of each change at once would cost each node some 20 calls a second; an endpoint that drains must get nothing new
     * 2 s after it said so.
     */
    private static final long LIST_PERIOD_MILLIS = 900;

    /** The balancer asks once a second and drops a node after two misses. */
    private static final long BALANCER_NOTICE_MILLIS = 2_300;

    /**
     * How long a leaving node still takes jobs after the balancer has noticed, in milliseconds. Every answer of a
     * leaving node closes its connection, so after this hardly any client is left that would be refused.
     */
    private static final long OPEN_CONNECTIONS_MILLIS = 500;

    /** How long before it would be killed a leaving node answers what is still open, in milliseconds. */
    private static final long LAST_ANSWERS_MILLIS = 500;

    /** Connections between nodes: a peer that is silent is missed, and its connections closed, before their timeout. */
    private static final PeerNetworkSettings PEER_NETWORK = new PeerNetworkSettings(
            Duration.ofMillis(400),
            Duration.ofMillis(PeerBook.DISTANT_SILENCE_MILLIS + 300),
            Duration.ofSeconds(60),
            Duration.ofMillis(50),
            Duration.ofMillis(400),
            4_096,
            8 * 1024 * 1024,
            1_024);

    private final ClusterSettings settings;
    private final DecisionLog log;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("node"));
    private final EventLoop loop = group.next();
    private final LoopTimers timers = new LoopTimers(loop);
    private final PeerBook book = new PeerBook();
    private final EndpointList endpoints = new EndpointList();
    private final ConfigurationInForce configuration;
    private final Heartbeats heartbeats;
    private final PeerExchange exchange;
    private final ShardKeeper keeper;
    private final JobDesk desk;
    private final CancelRounds cancels;
    private final NodeMeters meters;
    private final ShardLog shardLog;
    private final NodeDirectory directory;
    private final RowStore store;
    private final List<Channel> doors = new ArrayList<>();
    private final long startedAtMillis;
    private PeerNetwork network;
    private boolean leaving;

    ClusterNode(ClusterSettings settings, DecisionLog log) {
        this.settings = settings;
        this.log = log;
        this.startedAtMillis = timers.nowMillis();
        this.configuration = new ConfigurationInForce(log);
        this.heartbeats = new Heartbeats(book, settings.domains());
        this.exchange = new PeerExchange(book, this);
        this.meters = new NodeMeters(this::openJobs, log::droppedLines);
        this.shardLog = new ShardLog(log, meters);
        PlacingSettings placing = PlacingSettings.of(settings.leaseMillis(), settings.stopMillis());
        Succession succession =
                new Succession(settings.node(), settings.domain(), settings.ip(), settings.milliCores(), book);
        this.keeper = new ShardKeeper(
                settings.domains(),
                succession,
                endpoints,
                placing,
                new EndpointClient(loop),
                timers,
                System::currentTimeMillis,
                this);
        NodeHolders holders =
                new NodeHolders(settings, book, keeper, exchange, () -> heartbeats.holderExpected(timers.nowMillis()));
        this.desk = new JobDesk(holders, timers, placing.certainLapse());
        this.cancels = new CancelRounds(timers);
        this.store = new StoreClient(loop, settings.storeAddress());
        this.directory = new NodeDirectory(store, timers, settings.node(), settings.peerAddress(), this::located, log);
    }

    /** Opens everything, the doors for clients last. */
    void start() throws StepException {
        Incarnation run = Incarnation.of(System.currentTimeMillis());
        network = PeerNetwork.startOn(
                group,
                settings.peerAddress(),
                Hello.of(settings.node(), run, settings.domain()),
                exchange,
                PEER_NETWORK);
        exchange.use(network);
        NodeJobs jobs =
                new NodeJobs(configuration, desk, exchange, cancels, timers, log, meters, this::ready, () -> leaving);
        doors.add(ClientDoor.openForReadiness(group, settings.readinessAddress(), jobs));
        doors.add(ClientDoor.openForClients(group, settings.clientAddress(), jobs));
        Address pages = new Address(settings.ip(), settings.metricsPort());
        doors.add(ClientDoor.openForPages(group, pages, ImmutableMap.of("/metrics", meters::scrape)));
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
            log.line(
                    NodeEvent.NODE_LEAVING,
                    "open-jobs",
                    desk.openJobs(),
                    "shards",
                    keeper.heldShards().size());
            keeper.resignAll();
            sendStatus();
            awaitEmpty(timers.nowMillis());
        });
    }

    /** Ends at once and without a word, as a killed process would; the process itself goes on. */
    void abort() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private void awaitEmpty(long since) {
        long waited = timers.nowMillis() - since;
        if (waited >= BALANCER_NOTICE_MILLIS + OPEN_CONNECTIONS_MILLIS) {
            desk.takeNothingNew();
        }
        boolean idle = desk.closed() && desk.openJobs() == 0;
        if (idle || waited >= settings.shutdownMillis() - LAST_ANSWERS_MILLIS) {
            log.line(NodeEvent.NODE_STOPPED, "open-jobs", desk.openJobs(), "after-ms", waited);
            desk.giveUpAll();
            timers.after(REVIEW_MILLIS, () -> Runtime.getRuntime().halt(0));
        } else {
            timers.after(REVIEW_MILLIS / 2, () -> awaitEmpty(since));
        }
    }

    private int openJobs() {
        return desk.openJobs();
    }

    private boolean ready() {
        return !leaving && configuration.version() > 0 && anyHolder();
    }

    private boolean anyHolder() {
        return settings.domains().stream()
                .anyMatch(shard ->
                        keeper.placer(shard).isPresent() || book.holder(shard).isPresent());
    }

    private void begin() {
        directory.start();
        ConfigurationRows configurationRows = new ConfigurationRows(configuration, this::sendStatus, log);
        EndpointRows endpointRows = new EndpointRows(endpoints, keeper::endpointsChanged, timers, log, meters);
        new TableFollower(store, StoreTable.OPERATOR, timers, configurationRows, 0).start();
        new TableFollower(store, StoreTable.ENDPOINTS, timers, endpointRows, LIST_PERIOD_MILLIS).start();
        review();
    }

    private void review() {
        long now = timers.nowMillis();
        for (NodeId silent : book.expire(now)) {
            lost(silent, "silent");
        }
        if (endpoints.expire(now)) {
            keeper.endpointsChanged();
        }
        keeper.reviewRuns();
        if (!leaving && discovered(now) && keeper.review()) {
            holdersChanged();
        }
        if (heartbeats.review(keeper.heldShards(), now)) {
            sendStatus();
        }
        tell(heartbeats.due(now));
        timers.after(REVIEW_MILLIS, this::review);
    }

    private boolean discovered(long now) {
        if (directory.complete()) {
            return exchange.allLocatedHeard() || now - directory.completeAtMillis() >= DISCOVERY_MILLIS;
        }
        return now - startedAtMillis >= LONGEST_DISCOVERY_MILLIS;
    }

    private void holdersChanged() {
        sendStatus();
        desk.holdersChanged();
    }

    private void tell(Heartbeats.Audience audience) {
        if (audience == Heartbeats.Audience.ALL) {
            sendStatus();
        } else if (audience == Heartbeats.Audience.CLOSE) {
            StatusFrame status = status();
            heartbeats.close().forEach(peer -> exchange.send(peer, status));
        }
    }

    private void sendStatus() {
        heartbeats.toldAll(timers.nowMillis());
        exchange.sendToAll(status());
    }

    private StatusFrame status() {
        return new StatusFrame(new NodeStatus(
                settings.node(),
                settings.domain(),
                settings.peerAddress(),
                settings.milliCores(),
                leaving,
                heartbeats.seeking(),
                configuration.version(),
                keeper.held()));
    }

    private void located(NodeId node, Address address) {
        exchange.located(node, address);
        exchange.send(node, status());
    }

    @Override
    public void status(NodeStatus status) {
        long now = timers.nowMillis();
        boolean joined = book.heard(status, now);
        if (joined) {
            log.line(NodeEvent.PEER_JOINED, "peer", status.node(), "domain", status.domain());
            exchange.send(status.node(), status());
        }
        if (status.configurationVersion() > configuration.version()) {
            ConfigurationVersion wanted = ConfigurationVersion.of(status.configurationVersion());
            exchange.send(status.node(), new ConfigurationAsked(wanted));
        }
        if (endpoints.isEmpty() && joined) {
            exchange.send(status.node(), new EndpointsAsked());
        }
        if (!directory.complete() && joined) {
            exchange.send(status.node(), new NodesAsked());
        }
        if (!leaving && discovered(now) && keeper.review()) {
            sendStatus();
        }
        if (desk.seeking()) {
            desk.holdersChanged();
        }
    }

    @Override
    public void lost(NodeId peer, String reason) {
        log.line(NodeEvent.PEER_LOST, "peer", peer, "reason", reason);
        exchange.disconnect(peer, "the peer was lost");
        keeper.nodeLost(peer);
        desk.nodeLost(peer);
        if (!leaving && discovered(timers.nowMillis()) && keeper.review()) {
            holdersChanged();
        }
    }

    @Override
    public void offered(FailureDomain shard, Offer offer) {
        keeper.placer(shard)
                .ifPresentOrElse(
                        placer -> placer.offer(offer),
                        () -> settled(offer.asker(), offer.job().id(), Verdict.HOLD_LOST, 0));
    }

    @Override
    public void notOffered(NodeId peer, JobId job) {
        desk.notOffered(peer, job);
    }

    @Override
    public void verdictCame(NodeId holder, JobId job, Verdict verdict, long retryMillis) {
        desk.settled(holder, job, verdict, retryMillis);
    }

    @Override
    public void settled(NodeId asker, JobId job, Verdict verdict, long retryMillis) {
        if (asker.equals(settings.node())) {
            desk.settled(asker, job, verdict, retryMillis);
        } else {
            exchange.answer(asker, new JobSettled(job, verdict, retryMillis));
        }
    }

    @Override
    public void declined(FailureDomain shard, NodeId asker, JobId job, Outlook outlook) {
        shardLog.declined(shard, asker, job, outlook);
    }

    @Override
    public void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {
        shardLog.runEndedBadly(shard, run, endpoint, kind);
    }

    @Override
    public void withdrawn(NodeId peer, FailureDomain shard, JobId job) {
        keeper.placer(shard).ifPresent(placer -> placer.withdraw(peer, job));
    }

    @Override
    public boolean cancelled(JobId job) {
        return desk.cancel(job);
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
        configuration.offered(text, peer.value());
    }

    @Override
    public ImmutableList<EndpointEntry> endpoints() {
        return endpoints.all();
    }

    @Override
    public void endpointsGiven(ImmutableList<EndpointEntry> given) {
        if (endpoints.isEmpty()) {
            given.forEach(endpoints::listed);
            keeper.endpointsChanged();
        }
    }

    @Override
    public void nodesGiven(ImmutableList<NodeLocation> nodes) {
        directory.learned(nodes);
    }

    @Override
    public void claimed(FailureDomain shard, FencingToken token) {
        shardLog.claimed(shard, token, endpoints.of(shard).size());
    }

    @Override
    public void resigned(FailureDomain shard, FencingToken token) {
        shardLog.resigned(shard, token);
    }

    @Override
    public void outranked(FailureDomain shard, FencingToken token) {
        shardLog.outranked(shard, token);
        holdersChanged();
    }
}
