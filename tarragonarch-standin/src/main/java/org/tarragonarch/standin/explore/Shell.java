package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.core.event.ClaimResult;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.ConfigurationRowRead;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.event.PeerReported;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.service.ServiceCatalog;

/** Carries the nodes' actions to the fakes, over links that may be cut, and brings back events. */
final class Shell {
    private static final long CONNECT_TIMEOUT_NANOS = 300_000_000;
    private static final int RELEASE_SPREAD_NANOS = 1_000_000_000;
    private static final int ENDS_PER_REPEATED_END = 20;
    private static final int REPEAT_SPREAD_NANOS = 200_000_000;
    private static final String PLATFORM = World.PLATFORM;

    private final World world;
    private final VirtualTime time;
    private final Network network;
    private final List<Question> questions = new ArrayList<>();

    Shell(World world) {
        this.world = world;
        this.time = world.time();
        this.network = world.network();
    }

    void send(FakeNode node, SendTask send) {
        String endpoint = send.endpoint().value();
        AtomicBoolean ended = new AtomicBoolean();
        time.after(send.timeAllowed().toNanos(), () -> end(node, send, SendResult.LOST, false, ended));
        if (!network.open(node.name(), endpoint) || !network.open(endpoint, node.name())) {
            sendOverCut(node, send, ended);
            return;
        }
        world.checkLateSend(node, endpoint, send.address());
        time.after(
                network.delayNanos(),
                () -> world.endpoint(endpoint).receive(send, world.runNanos(send.task()), (result, leaving) -> {
                    if (network.open(endpoint, node.name())) {
                        time.after(network.delayNanos(), () -> end(node, send, result, leaving, ended));
                    }
                }));
    }

    // On a new connection nothing leaves over a cut link; on a pooled one the bytes leave and may even arrive.
    private void sendOverCut(FakeNode node, SendTask send, AtomicBoolean ended) {
        boolean pooled = world.random().nextBoolean();
        if (!pooled) {
            time.after(CONNECT_TIMEOUT_NANOS, () -> end(node, send, SendResult.CONNECT_FAILED, false, ended));
        } else if (network.open(node.name(), send.endpoint().value())) {
            time.after(
                    network.delayNanos(),
                    () -> world.endpoint(send.endpoint().value())
                            .receive(send, world.runNanos(send.task()), (result, leaving) -> {}));
        }
    }

    private void end(FakeNode node, SendTask send, SendResult result, boolean leaving, AtomicBoolean ended) {
        if (!ended.getAndSet(true)) {
            if (result == SendResult.REFUSED_DRAINING && !node.frozen()) {
                world.endpoint(send.endpoint().value()).heardRefusal(node.run());
            }
            TaskEnded event = new TaskEnded(
                    send.task(),
                    send.attempt(),
                    send.endpoint(),
                    result,
                    leaving,
                    result.name().toLowerCase(Locale.ROOT));
            node.deliver(event);
            if (world.random().nextInt(ENDS_PER_REPEATED_END) == 0) {
                // A shell that reports an end twice must not confuse a later attempt with it.
                time.after(world.random().nextInt(REPEAT_SPREAD_NANOS), () -> node.deliver(event));
            }
        }
    }

    void stop(FakeNode node, StopTask stop) {
        String endpoint = stop.endpoint().value();
        if (stop.sendStop() && network.open(node.name(), endpoint)) {
            time.after(network.delayNanos(), () -> world.endpoint(endpoint).stop(stop.task()));
        }
    }

    void probe(FakeNode node, ProbeEndpoint probe) {
        String name = probe.endpoint().value();
        boolean open = network.open(node.name(), name) && network.open(name, node.name());
        long delay = open ? 2 * network.delayNanos() : CONNECT_TIMEOUT_NANOS;
        time.after(delay, () -> {
            FakeEndpoint endpoint = world.endpoint(name);
            boolean answered = open && endpoint.listensAt(probe.address());
            node.deliver(new ProbeEnded(
                    probe.endpoint(), answered && !endpoint.draining(), answered && endpoint.draining()));
        });
    }

    void writeClaims(FakeNode node, WriteClaims write) {
        if (platformReached(node)) {
            world.platform().insertIfAbsent(write.claims(), results -> {
                if (results.isPresent()) {
                    node.deliver(new ClaimsWritten(write.batch(), results.get()));
                } else {
                    node.deliver(new ClaimsUncertain(write.batch(), true, "no reply"));
                }
            });
            return;
        }
        boolean refused = world.random().nextBoolean();
        long delay = refused ? network.delayNanos() : world.platform().timeoutNanos();
        time.after(delay, () -> node.deliver(new ClaimsUncertain(write.batch(), !refused, "out")));
    }

    void readClaims(FakeNode node, ReadClaims read) {
        boolean reached = platformReached(node);
        time.after(2 * network.delayNanos(), () -> {
            ImmutableList<ClaimResult> standing = world.platform().standing(read.claims());
            Event event =
                    reached ? new ClaimsRead(read.batch(), standing) : new ClaimsUncertain(read.batch(), false, "out");
            node.deliver(event);
        });
    }

    void release(FakeNode node, ReleaseClaim release) {
        if (platformReached(node)) {
            int delay = world.random().nextInt(RELEASE_SPREAD_NANOS);
            time.after(delay, () -> world.platform().release(release.claim()));
        }
    }

    void ask(FakeNode node, AskPeerAnswer ask) {
        Optional<FakeNode> holder = world.node(ask.peer().value());
        boolean open = network.open(node.name(), ask.peer().value());
        if (holder.isEmpty() || !holder.get().alive() || !open) {
            time.after(CONNECT_TIMEOUT_NANOS, () -> notToBeHad(node, ask.waiting()));
            return;
        }
        Question question = new Question(node, ask.waiting(), holder.get());
        questions.add(question);
        long number = questions.size() - 1;
        time.after(
                network.delayNanos(),
                () -> holder.get().deliver(new PeerAnswerAsked(node.identity().node(), number, ask.key())));
    }

    void give(FakeNode holder, GivePeerAnswer give) {
        Question question = questions.get((int) give.question());
        if (network.open(holder.name(), question.asker().name())) {
            time.after(
                    network.delayNanos(),
                    () -> question.asker()
                            .deliver(new PeerAnswerArrived(question.waiting(), give.answer(), give.problem())));
        }
    }

    /** Breaks the connections of a node that ended: nodes that asked it for an answer are notified. */
    void broken(FakeNode holder) {
        for (Question question : questions) {
            if (question.holder() == holder) {
                time.after(network.delayNanos(), () -> notToBeHad(question.asker(), question.waiting()));
            }
        }
    }

    private static void notToBeHad(FakeNode asker, SubmissionId waiting) {
        asker.deliver(new PeerAnswerArrived(waiting, PeerAnswer.NOT_TO_BE_HAD, Optional.empty()));
    }

    void report(FakeNode node, SendReport report) {
        if (network.open(node.name(), report.peer().value())) {
            time.after(
                    network.delayNanos(),
                    () -> world.node(report.peer().value())
                            .ifPresent(peer -> peer.deliver(new PeerReported(report.report()))));
        }
    }

    void readVmList(FakeNode node) {
        boolean reached = platformReached(node);
        time.after(2 * network.delayNanos(), () -> {
            Event event =
                    reached ? new VmListRead(world.platform().vms()) : new PlatformFailed(PlatformPart.VM_LIST, "out");
            node.deliver(event);
        });
    }

    void readRow(FakeNode node) {
        boolean reached = platformReached(node);
        time.after(2 * network.delayNanos(), () -> {
            Event event = reached
                    ? new ConfigurationRowRead(world.platform().row())
                    : new PlatformFailed(PlatformPart.CONFIGURATION_ROW, "out");
            node.deliver(event);
        });
    }

    void load(FakeNode node, LoadConfiguration load) {
        String source = load.peer().map(peer -> peer.value()).orElse(PLATFORM);
        boolean reached = load.peer().isPresent()
                ? network.open(node.name(), source) && network.open(source, node.name())
                : platformReached(node);
        time.after(2 * network.delayNanos(), () -> {
            Optional<ServiceCatalog> found = reached ? find(load) : Optional.empty();
            Event event = found.<Event>map(catalog -> new ConfigurationLoaded(catalog, source))
                    .orElseGet(() -> new ConfigurationLoadFailed(load.version(), source, "not to be had"));
            node.deliver(event);
        });
    }

    private Optional<ServiceCatalog> find(LoadConfiguration load) {
        Optional<ServiceCatalog> found = load.peer().isPresent()
                ? world.node(load.peer().get().value())
                        .filter(peer -> peer.alive() && !peer.frozen())
                        .flatMap(FakeNode::catalog)
                : world.platform().object(load.version());
        return found.filter(catalog ->
                load.digest().map(digest -> digest.equals(catalog.digest())).orElse(true));
    }

    private boolean platformReached(FakeNode node) {
        return !world.platform().isOut() && network.open(node.name(), PLATFORM);
    }

    private record Question(FakeNode asker, SubmissionId waiting, FakeNode holder) {}
}
