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

/** Performs the nodes' actions on the fakes, over links that may be cut, and delivers the resulting events. */
final class Shell {
    private static final long CONNECT_TIMEOUT_NANOS = 300_000_000;
    private static final int RELEASE_SPREAD_NANOS = 1_000_000_000;
    private static final int ENDS_PER_REPEATED_ONE = 20;
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

    void sendTask(FakeNode node, SendTask send) {
        String endpoint = send.endpoint().value();
        AtomicBoolean ended = new AtomicBoolean();
        time.scheduleAfter(send.timeAllowed().toNanos(), () -> end(node, send, SendResult.LOST, false, ended));
        if (!network.isOpen(node.name(), endpoint) || !network.isOpen(endpoint, node.name())) {
            sendOverCutLink(node, send, ended);
            return;
        }
        world.checkSend(node, endpoint, send.address());
        time.scheduleAfter(
                network.nextDelayNanos(),
                () -> world.endpoint(endpoint).receive(send, world.runNanos(send.task()), (result, leaving) -> {
                    if (network.isOpen(endpoint, node.name())) {
                        time.scheduleAfter(network.nextDelayNanos(), () -> end(node, send, result, leaving, ended));
                    }
                }));
    }

    // A new connection cannot be opened over a cut link. On a pooled one the request is sent and may still arrive.
    private void sendOverCutLink(FakeNode node, SendTask send, AtomicBoolean ended) {
        boolean pooled = world.random().nextBoolean();
        if (!pooled) {
            time.scheduleAfter(CONNECT_TIMEOUT_NANOS, () -> end(node, send, SendResult.CONNECT_FAILED, false, ended));
        } else if (network.isOpen(node.name(), send.endpoint().value())) {
            time.scheduleAfter(
                    network.nextDelayNanos(),
                    () -> world.endpoint(send.endpoint().value())
                            .receive(send, world.runNanos(send.task()), (result, leaving) -> {}));
        }
    }

    private void end(FakeNode node, SendTask send, SendResult result, boolean leaving, AtomicBoolean ended) {
        if (!ended.getAndSet(true)) {
            if (result == SendResult.REFUSED_DRAINING && !node.frozen()) {
                world.endpoint(send.endpoint().value()).recordRefusal(node.runName());
            }
            TaskEnded event = new TaskEnded(
                    send.task(),
                    send.attempt(),
                    send.endpoint(),
                    result,
                    leaving,
                    result.name().toLowerCase(Locale.ROOT));
            node.deliver(event);
            if (world.random().nextInt(ENDS_PER_REPEATED_ONE) == 0) {
                // The core must not attribute a repeated end to a later attempt.
                time.scheduleAfter(world.random().nextInt(REPEAT_SPREAD_NANOS), () -> node.deliver(event));
            }
        }
    }

    void stopTask(FakeNode node, StopTask stop) {
        String endpoint = stop.endpoint().value();
        if (stop.sendStop() && network.isOpen(node.name(), endpoint)) {
            time.scheduleAfter(
                    network.nextDelayNanos(), () -> world.endpoint(endpoint).stop(stop.task()));
        }
    }

    void probeEndpoint(FakeNode node, ProbeEndpoint probe) {
        String name = probe.endpoint().value();
        boolean open = network.isOpen(node.name(), name) && network.isOpen(name, node.name());
        long delay = open ? 2 * network.nextDelayNanos() : CONNECT_TIMEOUT_NANOS;
        time.scheduleAfter(delay, () -> {
            FakeEndpoint endpoint = world.endpoint(name);
            boolean answered = open && endpoint.listensAt(probe.address());
            node.deliver(new ProbeEnded(
                    probe.endpoint(), answered && !endpoint.isDraining(), answered && endpoint.isDraining()));
        });
    }

    void writeClaims(FakeNode node, WriteClaims write) {
        if (canReachPlatform(node)) {
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
        long delay = refused ? network.nextDelayNanos() : world.platform().timeoutNanos();
        time.scheduleAfter(delay, () -> node.deliver(new ClaimsUncertain(write.batch(), !refused, "out")));
    }

    void readClaims(FakeNode node, ReadClaims read) {
        boolean reached = canReachPlatform(node);
        time.scheduleAfter(2 * network.nextDelayNanos(), () -> {
            ImmutableList<ClaimResult> current = world.platform().currentClaims(read.claims());
            Event event =
                    reached ? new ClaimsRead(read.batch(), current) : new ClaimsUncertain(read.batch(), false, "out");
            node.deliver(event);
        });
    }

    void releaseClaim(FakeNode node, ReleaseClaim release) {
        if (canReachPlatform(node)) {
            int delay = world.random().nextInt(RELEASE_SPREAD_NANOS);
            time.scheduleAfter(delay, () -> world.platform().releaseClaim(release.claim()));
        }
    }

    void askPeerAnswer(FakeNode node, AskPeerAnswer ask) {
        Optional<FakeNode> holder = world.node(ask.peer().value());
        boolean open = network.isOpen(node.name(), ask.peer().value());
        if (holder.isEmpty() || !holder.get().alive() || !open) {
            time.scheduleAfter(CONNECT_TIMEOUT_NANOS, () -> deliverUnavailable(node, ask.waiting()));
            return;
        }
        Question question = new Question(node, ask.waiting(), holder.get());
        questions.add(question);
        long number = questions.size() - 1;
        time.scheduleAfter(
                network.nextDelayNanos(),
                () -> holder.get().deliver(new PeerAnswerAsked(node.identity().node(), number, ask.key())));
    }

    void givePeerAnswer(FakeNode holder, GivePeerAnswer give) {
        Question question = questions.get((int) give.question());
        if (network.isOpen(holder.name(), question.asker().name())) {
            time.scheduleAfter(
                    network.nextDelayNanos(),
                    () -> question.asker()
                            .deliver(new PeerAnswerArrived(question.waiting(), give.answer(), give.problem())));
        }
    }

    /** Breaks the connections of a node that ended, and notifies the nodes that asked it for an answer. */
    void breakConnections(FakeNode holder) {
        for (Question question : questions) {
            if (question.holder() == holder) {
                time.scheduleAfter(
                        network.nextDelayNanos(), () -> deliverUnavailable(question.asker(), question.waiting()));
            }
        }
    }

    private static void deliverUnavailable(FakeNode asker, SubmissionId waiting) {
        asker.deliver(new PeerAnswerArrived(waiting, PeerAnswer.NOT_TO_BE_HAD, Optional.empty()));
    }

    void sendReport(FakeNode node, SendReport report) {
        if (network.isOpen(node.name(), report.peer().value())) {
            time.scheduleAfter(
                    network.nextDelayNanos(),
                    () -> world.node(report.peer().value())
                            .ifPresent(peer -> peer.deliver(new PeerReported(report.report()))));
        }
    }

    void readVmList(FakeNode node) {
        boolean reached = canReachPlatform(node);
        time.scheduleAfter(2 * network.nextDelayNanos(), () -> {
            Event event =
                    reached ? new VmListRead(world.platform().vms()) : new PlatformFailed(PlatformPart.VM_LIST, "out");
            node.deliver(event);
        });
    }

    void readConfigurationRow(FakeNode node) {
        boolean reached = canReachPlatform(node);
        time.scheduleAfter(2 * network.nextDelayNanos(), () -> {
            Event event = reached
                    ? new ConfigurationRowRead(world.platform().configurationRow())
                    : new PlatformFailed(PlatformPart.CONFIGURATION_ROW, "out");
            node.deliver(event);
        });
    }

    void loadConfiguration(FakeNode node, LoadConfiguration load) {
        String source = load.peer().map(peer -> peer.value()).orElse(PLATFORM);
        boolean reached = load.peer().isPresent()
                ? network.isOpen(node.name(), source) && network.isOpen(source, node.name())
                : canReachPlatform(node);
        time.scheduleAfter(2 * network.nextDelayNanos(), () -> {
            Optional<ServiceCatalog> found = reached ? findCatalog(load) : Optional.empty();
            Event event = found.<Event>map(catalog -> new ConfigurationLoaded(catalog, source))
                    .orElseGet(() -> new ConfigurationLoadFailed(load.version(), source, "unavailable"));
            node.deliver(event);
        });
    }

    private Optional<ServiceCatalog> findCatalog(LoadConfiguration load) {
        Optional<ServiceCatalog> found = load.peer().isPresent()
                ? world.node(load.peer().get().value())
                        .filter(peer -> peer.alive() && !peer.frozen())
                        .flatMap(FakeNode::catalog)
                : world.platform().findCatalog(load.version());
        return found.filter(catalog ->
                load.digest().map(digest -> digest.equals(catalog.digest())).orElse(true));
    }

    private boolean canReachPlatform(FakeNode node) {
        return !world.platform().isOut() && network.isOpen(node.name(), PLATFORM);
    }

    private record Question(FakeNode asker, SubmissionId waiting, FakeNode holder) {}
}
