package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.trace.TraceHeader;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.service.ServiceCatalog;

/**
 * A handful of nodes' cores, fake endpoints and a fake platform on one virtual clock.
 *
 * <p>A test of the decisions, not a cluster simulator: it models no machine, and of the network only cuts and delays.
 * The same seed and the same calls give the same run.
 */
public final class World {
    /** The name by which links to the platform are cut. */
    public static final String PLATFORM = "platform";

    private static final OperatorName OPERATOR = OperatorName.of("ann");

    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final Network network;
    private final Ledger ledger = new Ledger();
    private final PromiseChecker checker;
    private final LeavingPromise leavingPromise;
    private final FakePlatform platform;
    private final Shell shell;
    private final NodePolicy policy;
    private final Map<String, FakeNode> nodes = new LinkedHashMap<>();
    private final Map<String, FakeEndpoint> endpoints = new LinkedHashMap<>();
    private final VmRecords records;
    private final Map<SubmissionId, Long> runNanos = new HashMap<>();
    private Function<TraceHeader, EventRecorder> recorders = made -> EventRecorder.NONE;
    private long nextIncarnation = 1;

    private World(long seed, NodePolicy policy) {
        this.random = new Random(seed);
        this.policy = policy;
        this.network = new Network(random);
        this.checker = new PromiseChecker(time, ledger);
        this.leavingPromise = new LeavingPromise(checker);
        this.platform = new FakePlatform(time, random);
        this.records = new VmRecords(platform);
        this.shell = new Shell(this);
    }

    /** Returns a world without nodes and endpoints. */
    public static World create(long seed, NodePolicy policy) {
        return new World(seed, policy);
    }

    /** Records every run of a node that starts from now on, each by a recorder of its own. */
    public void recordWith(Function<TraceHeader, EventRecorder> each) {
        recorders = each;
    }

    /** Returns the clock. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the links. */
    public Network network() {
        return network;
    }

    /** Returns the platform. */
    public FakePlatform platform() {
        return platform;
    }

    /** Returns the starts at all endpoints. */
    public Ledger ledger() {
        return ledger;
    }

    /** Returns every submission sent, as a view. */
    public Collection<SentSubmission> sent() {
        return checker.sentSubmissions();
    }

    Random random() {
        return random;
    }

    Shell shell() {
        return shell;
    }

    /** Starts a node. */
    public void startNode(String name, String domain) {
        VmRecord vm = records.listNode(name, domain);
        NodeIdentity identity = new NodeIdentity(
                NodeId.of(name), Incarnation.of(nextIncarnation++), FailureDomain.of(domain), vm.address());
        TraceHeader made = new TraceHeader(identity, policy, random.nextLong());
        FakeNode node = new FakeNode(made, recorders.apply(made), this);
        nodes.put(name, node);
        time.scheduleAfter(0, () -> node.deliver(new TimePassed()));
    }

    /** Starts an endpoint. */
    public void startEndpoint(String name, String domain, int slots) {
        endpoints.put(name, new FakeEndpoint(name, slots, time, checker));
        endpoints.get(name).listen(records.listEndpoint(name, domain, slots).address());
    }

    /** Returns the present run of a node. */
    public Optional<FakeNode> node(String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    /** Returns every node's present run. */
    public ImmutableList<FakeNode> nodes() {
        return ImmutableList.copyOf(nodes.values());
    }

    /** Returns an endpoint. */
    public FakeEndpoint endpoint(String name) {
        return endpoints.get(name);
    }

    /** Returns every endpoint. */
    public ImmutableList<FakeEndpoint> endpoints() {
        return ImmutableList.copyOf(endpoints.values());
    }

    /** Kills a node: its callers' connections break and it keeps nothing. */
    public void killNode(String name) {
        FakeNode node = nodes.get(name);
        node.kill();
        shell.breakConnections(node);
    }

    /** Starts a node again on its old address, as a new run. */
    public void restartNode(String name) {
        FakeNode old = nodes.get(name);
        if (!old.alive()) {
            startNode(name, old.identity().domain().value());
        }
    }

    /** Stops a node's threads for a while; what arrives meanwhile is handled on waking. */
    public void freezeNode(String name, long nanos) {
        FakeNode node = nodes.get(name);
        if (!node.frozen()) {
            node.freeze();
            time.scheduleAfter(nanos, node::unfreeze);
        }
    }

    /** Asks a node to leave. */
    public void drainNode(String name) {
        nodes.get(name).deliver(new DrainRequested("scenario"));
    }

    /** Makes an endpoint leave, and puts that on the list, which lags. */
    public void drainEndpoint(String name) {
        endpoints.get(name).drain();
        records.listLeaving(name);
    }

    /** Starts an endpoint again under its name, on a new address as a replaced VM would be. */
    public void restartEndpoint(String name) {
        VmRecord old = records.get(name);
        endpoints.get(name).restart();
        VmRecord vm = records.listEndpoint(name, old.domain().value(), old.slots());
        endpoints.get(name).listen(vm.address());
    }

    /** Accepts the next configuration, as an operator's program would. */
    public void acceptConfiguration() {
        ServiceCatalog catalog =
                SampleCatalog.withVersion(platform.newestVersion().next().value());
        platform.acceptConfiguration(
                new ConfigurationRow(
                        catalog.version(),
                        catalog.digest(),
                        new ChangeId("change-" + catalog.version()),
                        OPERATOR,
                        Instant.EPOCH),
                catalog);
    }

    /**
     * Sends a submission to a node; to a node that is not there, nothing is sent.
     *
     * @param node the node the balancer chose
     * @param form request or job
     * @param kind a kind of {@link SampleCatalog}
     * @param key the idempotency key
     * @param tasks how many tasks
     * @param taskNanos how long each runs
     * @param timeAllowed the caller's deadline
     */
    public Optional<SentSubmission> submit(
            String node,
            SubmissionForm form,
            KindName kind,
            Optional<String> key,
            int tasks,
            long taskNanos,
            Optional<Duration> timeAllowed) {
        FakeNode target = nodes.get(node);
        if (!target.alive()) {
            return Optional.empty();
        }
        SubmissionArrived arrived = target.nextArrival(form, kind, key, tasks, timeAllowed);
        runNanos.put(arrived.id(), taskNanos);
        Duration allowed = timeAllowed.orElse(SampleCatalog.DEFAULT_DEADLINE);
        // The node may be frozen when the submission arrives; its deadline counts from when the node sees it.
        long slack = target.frozen() ? Duration.ofMinutes(1).toNanos() : 0;
        SentSubmission sent = new SentSubmission(
                arrived,
                kind.equals(SampleCatalog.IDEMPOTENT),
                time.nowNanos(),
                time.nowNanos() + allowed.toNanos() + slack);
        checker.recordSent(sent);
        target.deliver(arrived);
        return Optional.of(sent);
    }

    /** Cancels a submission, or hangs up on it. */
    public void cancel(SentSubmission sent, CancelCause cause) {
        ownerOf(sent.submission().id())
                .ifPresent(node ->
                        node.deliver(new CancelRequested(sent.submission().id(), cause)));
    }

    /** Returns the run that owns a submission, if it still goes on. */
    public Optional<FakeNode> ownerOf(SubmissionId id) {
        return Optional.ofNullable(nodes.get(id.node().value()))
                .filter(node -> node.identity().incarnation().equals(id.incarnation()) && node.alive());
    }

    /** Runs everything planned until then. */
    public void runUntil(long nanos) {
        while (time.runNext(nanos)) {
            // Each round runs one step.
        }
    }

    long runNanos(TaskId task) {
        return runNanos.get(task.submission());
    }

    void recordAnswer(FakeNode node, SubmissionId id, Optional<Problem> problem) {
        checker.recordAnswer(id, problem, node.unfrozenNanos());
    }

    void recordConfiguration(FakeNode node, ServiceCatalog catalog) {
        checker.recordConfiguration(node.runName(), catalog.version());
    }

    void checkSend(FakeNode node, String name, Address address) {
        FakeEndpoint endpoint = endpoints.get(name);
        if (endpoint.listensAt(address)) {
            leavingPromise.checkSend(node, name, endpoint);
        }
    }

    Violation violation(String promise, String what) {
        return checker.violation(promise, what);
    }
}
