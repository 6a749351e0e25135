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
 * A simulated cluster: the cores of several nodes, fake endpoints and a fake platform on one virtual clock.
 *
 * <p>It tests the decisions of the nodes. It does not model machines, and models only cuts and delays of the network.
 * Runs with the same seed and the same calls are identical.
 */
public final class World {
    /** The name of the platform in links. */
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
    private Function<TraceHeader, EventRecorder> recorderFactory = header -> EventRecorder.NONE;
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

    /** Creates a world without nodes and endpoints. */
    public static World create(long seed, NodePolicy policy) {
        return new World(seed, policy);
    }

    /** Sets the factory of event recorders; each run of a node that starts afterwards has its own recorder. */
    public void recordWith(Function<TraceHeader, EventRecorder> factory) {
        recorderFactory = factory;
    }

    /** Returns the clock. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the network. */
    public Network network() {
        return network;
    }

    /** Returns the platform. */
    public FakePlatform platform() {
        return platform;
    }

    /** Returns the ledger of all endpoints. */
    public Ledger ledger() {
        return ledger;
    }

    /** Returns an unmodifiable view of all submissions. */
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
        TraceHeader header = new TraceHeader(identity, policy, random.nextLong());
        FakeNode node = new FakeNode(header, recorderFactory.apply(header), this);
        nodes.put(name, node);
        time.scheduleAfter(0, () -> node.deliver(new TimePassed()));
    }

    /** Starts an endpoint. */
    public void startEndpoint(String name, String domain, int slots) {
        endpoints.put(name, new FakeEndpoint(name, slots, time, checker));
        endpoints.get(name).listen(records.listEndpoint(name, domain, slots).address());
    }

    /** Returns the current run of a node, if the node was ever started. */
    public Optional<FakeNode> node(String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    /** Returns the current run of every node. */
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

    /** Kills a node: its connections break and its state is lost. */
    public void killNode(String name) {
        FakeNode node = nodes.get(name);
        node.kill();
        shell.breakConnections(node);
    }

    /** Starts a node again as a new run on its old address; does nothing if the node is alive. */
    public void restartNode(String name) {
        FakeNode old = nodes.get(name);
        if (!old.alive()) {
            startNode(name, old.identity().domain().value());
        }
    }

    /** Pauses a node; the events that arrive meanwhile are handled when it is unfrozen. */
    public void freezeNode(String name, long nanos) {
        FakeNode node = nodes.get(name);
        if (!node.frozen()) {
            node.freeze();
            time.scheduleAfter(nanos, node::unfreeze);
        }
    }

    /** Requests that a node drain. */
    public void drainNode(String name) {
        nodes.get(name).deliver(new DrainRequested("scenario"));
    }

    /** Makes an endpoint leave and lists it as leaving; the list may lag. */
    public void drainEndpoint(String name) {
        endpoints.get(name).drain();
        records.listLeaving(name);
    }

    /** Starts an endpoint again under its name, on a new address, like a replaced VM. */
    public void restartEndpoint(String name) {
        VmRecord old = records.get(name);
        endpoints.get(name).restart();
        VmRecord vm = records.listEndpoint(name, old.domain().value(), old.slots());
        endpoints.get(name).listen(vm.address());
    }

    /** Stores the next configuration at the platform, as an operator's program would. */
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
     * Sends a submission to a node; returns an empty value if the node is not alive.
     *
     * @param node the name of the node
     * @param form the form: request or job
     * @param kind a kind of {@link SampleCatalog}
     * @param key the idempotency key, if any
     * @param tasks the number of tasks
     * @param taskNanos the run time of each task
     * @param timeAllowed the time allowed by the caller; the kind's deadline if empty
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
        // A frozen node counts the deadline from when it is unfrozen and handles the submission.
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

    /** Cancels a submission, at the caller's request or because the caller hung up. */
    public void cancel(SentSubmission sent, CancelCause cause) {
        ownerOf(sent.submission().id())
                .ifPresent(node ->
                        node.deliver(new CancelRequested(sent.submission().id(), cause)));
    }

    /** Returns the run of a node that received a submission, if that run is alive. */
    public Optional<FakeNode> ownerOf(SubmissionId id) {
        return Optional.ofNullable(nodes.get(id.node().value()))
                .filter(node -> node.identity().incarnation().equals(id.incarnation()) && node.alive());
    }

    /** Runs all steps that are due by a time. */
    public void runUntil(long nanos) {
        while (time.runNext(nanos)) {
            // Each iteration runs one step.
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
