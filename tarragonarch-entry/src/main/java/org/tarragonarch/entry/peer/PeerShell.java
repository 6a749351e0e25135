package org.tarragonarch.entry.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.event.PeerReported;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.body.JsonSlices;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.metrics.WasteKind;
import org.tarragonarch.entry.platform.ConfigurationLoader;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.wire.AnswerAsked;
import org.tarragonarch.wire.AnswerGiven;
import org.tarragonarch.wire.AnswerOutcome;
import org.tarragonarch.wire.ConfigurationAsked;
import org.tarragonarch.wire.ConfigurationGiven;
import org.tarragonarch.wire.Frame;
import org.tarragonarch.wire.FrameCodec;
import org.tarragonarch.wire.Hello;
import org.tarragonarch.wire.Payload;
import org.tarragonarch.wire.PeerListener;
import org.tarragonarch.wire.PeerNetwork;
import org.tarragonarch.wire.ReportFrame;

/**
 * Exchanges messages with other entry nodes for the core. Only {@link #open} and {@link #close} block.
 *
 * <p>A question whose connection breaks after it was sent is neither answered nor reported as undelivered. Open
 * questions are therefore repeated periodically: a node that still has the question open ignores the repeat, and one
 * that was restarted answers that it does not know the key.
 */
public final class PeerShell implements PeerListener, AutoCloseable {
    // The longest frame less space for the frame's other fields.
    private static final int MAX_RESULT_BYTES = FrameCodec.MAX_FRAME_BYTES - 1_024;
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

    private final NodeIdentity identity;
    private final BodyStore bodies;
    private final EventSink events;
    private final NodeMetrics metrics;
    private final AskedQuestions asked = new AskedQuestions();
    private final ReceivedQuestions received = new ReceivedQuestions();
    private final ConfigurationExchange configurations;
    private final ConcurrentMap<NodeId, Address> addresses = new ConcurrentHashMap<>();
    private final ScheduledExecutorService worker =
            Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
                    .setNameFormat("peer-work")
                    .setDaemon(true)
                    .build());
    private volatile PeerNetwork network;

    private PeerShell(
            NodeIdentity identity,
            BodyStore bodies,
            CatalogInForce catalog,
            ConfigurationTexts texts,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        this.identity = checkNotNull(identity, "identity");
        this.bodies = checkNotNull(bodies, "bodies");
        this.events = checkNotNull(events, "events");
        this.metrics = checkNotNull(metrics, "metrics");
        this.configurations = new ConfigurationExchange(catalog, texts, loader, events);
    }

    /** Returns a shell that does not listen until {@link #open} is called. */
    public static PeerShell create(
            NodeIdentity identity,
            BodyStore bodies,
            CatalogInForce catalog,
            ConfigurationTexts texts,
            ConfigurationLoader loader,
            EventSink events,
            NodeMetrics metrics) {
        return new PeerShell(identity, bodies, catalog, texts, loader, events, metrics);
    }

    /**
     * Starts to listen at the peer port.
     *
     * @throws StepException if the port cannot be bound
     */
    public void open() throws StepException {
        Hello own = Hello.of(identity.node(), identity.incarnation(), identity.domain());
        network = PeerNetwork.start(identity.peerAddress(), own, this);
        worker.scheduleWithFixedDelay(
                this::repeatQuestions, REPEAT_INTERVAL.toMillis(), REPEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Updates the addresses of other nodes from a VM list; nodes missing from the list keep their last address. */
    public void updateAddresses(Iterable<VmRecord> vms) {
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENTRY) {
                addresses.put(NodeId.of(vm.name()), vm.address());
            }
        }
    }

    /** Sends a report to a peer. */
    public void sendReport(SendReport action) {
        metrics.countWastedMessage(WasteKind.REPORT);
        network.send(action.peer(), action.address(), new ReportFrame(action.report()));
    }

    /** Asks the node that holds a claim for its answer. */
    public void askAnswer(AskPeerAnswer action) {
        long question = asked.add(action.peer(), action.waiting(), action.key());
        ask(question, action.peer(), new AnswerAsked(question, action.key()));
    }

    /** Sends a peer the answer that it asked for. */
    public void giveAnswer(GivePeerAnswer action) {
        // The results are looked up here, as the core may evict them later, and are joined on the worker thread.
        Optional<ImmutableList<byte[]>> results = action.submission().flatMap(bodies::results);
        received.remove(action.question())
                .ifPresent(question -> runOnWorker(() -> network.reply(
                        question.peer(), question.incarnation(), answer(action, results, question.question()))));
    }

    /** Asks a peer for a configuration. */
    public void loadConfiguration(LoadConfiguration action) {
        NodeId peer = action.peer().orElseThrow();
        configurations.recordQuestion(peer, action);
        Address address = addresses.get(peer);
        if (address == null) {
            configurations.failQuestion(peer, "the address of the peer is unknown");
            return;
        }
        network.send(peer, address, new ConfigurationAsked(action.version()));
    }

    @Override
    public void received(NodeId peer, Incarnation incarnation, Frame frame) {
        if (frame instanceof ReportFrame report) {
            events.post(new PeerReported(report.report()));
        } else if (frame instanceof AnswerAsked question) {
            answerAsked(peer, incarnation, question);
        } else if (frame instanceof AnswerGiven given) {
            asked.remove(given.question(), peer).ifPresent(question -> answerGiven(question, given));
        } else if (frame instanceof ConfigurationAsked question) {
            network.reply(peer, incarnation, configurations.answer(question));
        } else if (frame instanceof ConfigurationGiven given) {
            configurations.loadAnswer(peer, given, this::runOnWorker);
        }
    }

    @Override
    public void undelivered(NodeId peer, Frame frame) {
        if (frame instanceof AnswerAsked question) {
            asked.remove(question.question(), peer).ifPresent(this::postUnavailable);
        } else if (frame instanceof ConfigurationAsked) {
            configurations.failQuestion(peer, "the peer is unreachable");
        }
    }

    @Override
    public void close() {
        worker.shutdownNow();
        if (network != null) {
            network.close();
        }
    }

    private void ask(long question, NodeId peer, AnswerAsked frame) {
        Address address = addresses.get(peer);
        if (address == null) {
            asked.remove(question, peer).ifPresent(this::postUnavailable);
            return;
        }
        network.send(peer, address, frame);
    }

    private void repeatQuestions() {
        asked.open().forEach((question, open) -> {
            if (bodies.contains(open.waiting())) {
                ask(question, open.peer(), new AnswerAsked(question, open.key()));
            } else {
                // The core has answered the submission, for instance at its deadline.
                asked.remove(question, open.peer());
            }
        });
        configurations.expire(System.nanoTime() - REPEAT_INTERVAL.toNanos());
    }

    private void answerAsked(NodeId peer, Incarnation incarnation, AnswerAsked question) {
        received.add(new ReceivedQuestions.Received(peer, incarnation, question.question()))
                .ifPresent(number -> events.post(new PeerAnswerAsked(peer, number, question.key())));
    }

    private static AnswerGiven answer(GivePeerAnswer action, Optional<ImmutableList<byte[]>> results, long question) {
        return switch (action.answer()) {
            case COMPLETE ->
                results.map(JsonSlices::join)
                        .filter(array -> array.length <= MAX_RESULT_BYTES)
                        .map(array -> AnswerGiven.complete(question, Payload.of(array)))
                        .orElseGet(() -> AnswerGiven.unavailable(question));
            case PROBLEM -> AnswerGiven.problem(question, action.problem().orElseThrow());
            default -> AnswerGiven.unavailable(question);
        };
    }

    private void answerGiven(AskedQuestions.Asked question, AnswerGiven given) {
        if (given.outcome() == AnswerOutcome.COMPLETE) {
            runOnWorker(() -> completeGiven(question, given.results().orElseThrow()));
        } else {
            PeerAnswer outcome =
                    given.outcome() == AnswerOutcome.PROBLEM ? PeerAnswer.PROBLEM : PeerAnswer.NOT_TO_BE_HAD;
            postAnswer(question, outcome, given.problem());
        }
    }

    private void completeGiven(AskedQuestions.Asked question, Payload results) {
        try {
            bodies.putResults(question.waiting(), JsonSlices.split(results.bytes()));
        } catch (IOException e) {
            postUnavailable(question);
            return;
        }
        boolean complete = bodies.results(question.waiting()).isPresent();
        postAnswer(question, complete ? PeerAnswer.COMPLETE : PeerAnswer.NOT_TO_BE_HAD, Optional.empty());
    }

    private void postUnavailable(AskedQuestions.Asked question) {
        postAnswer(question, PeerAnswer.NOT_TO_BE_HAD, Optional.empty());
    }

    private void postAnswer(AskedQuestions.Asked question, PeerAnswer outcome, Optional<Problem> problem) {
        events.post(new PeerAnswerArrived(question.waiting(), outcome, problem));
    }

    private void runOnWorker(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            // The node has stopped, so the message no longer matters.
            return;
        }
    }
}
