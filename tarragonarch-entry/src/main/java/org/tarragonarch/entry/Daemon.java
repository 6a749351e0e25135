package org.tarragonarch.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerFromPeer;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.AskPeerAnswer;
import org.tarragonarch.core.action.ConfigurationInForce;
import org.tarragonarch.core.action.ForgetAnswer;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.PhaseChanged;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.action.ReadClaims;
import org.tarragonarch.core.action.ReadConfigurationRow;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.action.SweepClaims;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.action.WriteClaims;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.admin.AdminApi;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.caller.CallerApi;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.ActionRouter;
import org.tarragonarch.entry.control.ControlLoop;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.control.NodeCore;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.endpoint.EndpointClient;
import org.tarragonarch.entry.http.ApiServer;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.log.NoteLog;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.metrics.WasteKind;
import org.tarragonarch.entry.peer.PeerShell;
import org.tarragonarch.entry.platform.ConfigurationLoader;
import org.tarragonarch.entry.platform.PlatformShell;
import org.tarragonarch.entry.settings.NodeSettings;
import org.tarragonarch.entry.trace.TraceHeader;
import org.tarragonarch.entry.trace.TraceWriter;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.platform.PlatformClient;

/** One running entry node: the core on its control thread, the servers and the clients. */
final class Daemon {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int CALLER_THREADS = 2;
    private static final int ADMIN_THREADS = 1;
    private static final int ADMIN_CONNECTIONS = 128;
    private static final Duration DRAIN_MARGIN = Duration.ofSeconds(5);

    private final NodeSettings settings;
    private final Optional<TraceWriter> trace;
    private final NodeIdentity identity;
    private final NodeMetrics metrics;
    private final Readiness readiness = Readiness.create();
    private final CatalogInForce catalog = CatalogInForce.create();
    private final ConfigurationTexts texts = ConfigurationTexts.create();
    private final BodyStore bodies;
    private final ControlLoop control;
    private final PlatformClient platform;
    private final PlatformShell platformShell;
    private final EndpointClient endpoints;
    private final PeerShell peers;
    private final CallerApi callerApi;
    private final AdminApi adminApi;
    private final ApiServer callerServer;
    private final ApiServer adminServer;

    private Daemon(NodeSettings settings, TraceHeader header, Optional<TraceWriter> trace) {
        this.settings = settings;
        this.trace = trace;
        this.identity = header.identity();
        this.metrics = NodeMetrics.create(settings.node());
        this.bodies = BodyStore.create(settings.limits().maxBodyBytes());
        this.control =
                ControlLoop.create(NodeCore.of(header.newNode()), trace.isPresent() ? trace.get() : EventRecorder.NONE);
        this.platform = PlatformClient.create(
                settings.platformAddress(),
                settings.node().value(),
                settings.limits().platformTimeout());
        ConfigurationLoader loader = ConfigurationLoader.create(texts);
        this.endpoints = EndpointClient.create(
                bodies, control, metrics, settings.limits().endpoints());
        this.peers = PeerShell.create(identity, bodies, catalog, texts, loader, control, metrics);
        this.platformShell = PlatformShell.create(
                platform.claimStore(),
                platform.configurationStore(),
                platform.vmList(),
                loader,
                this::onPlatformEvent,
                metrics);
        this.callerApi = CallerApi.create(identity, catalog, readiness, bodies, control, metrics);
        this.adminApi = AdminApi.create(control, catalog, texts, readiness, metrics, platform.configurationStore());
        this.callerServer = ApiServer.create(
                ApiServer.socketAddress(settings.callerAddress()),
                settings.limits().http(),
                metrics.httpEvents("caller"),
                "caller",
                CALLER_THREADS);
        this.adminServer = ApiServer.create(
                ApiServer.socketAddress(settings.adminAddress()),
                HttpLimits.DEFAULT.withMaxConnections(ADMIN_CONNECTIONS),
                metrics.httpEvents("admin"),
                "admin",
                ADMIN_THREADS);
    }

    /**
     * Starts a node.
     *
     * @throws StepException if a port cannot be bound or the trace file cannot be written; nothing is left running
     */
    static Daemon start(NodeSettings settings) throws StepException {
        long started = System.nanoTime();
        TraceHeader header = header(settings, System.currentTimeMillis());
        Daemon daemon = new Daemon(settings, header, startTrace(settings, header));
        try {
            daemon.openPorts();
        } catch (StepException e) {
            daemon.close();
            throw e;
        }
        daemon.addGauges();
        daemon.control.start(daemon.actions());
        LOG.atInfo().log(
                "%s",
                LogLine.of("started", Step.LIFECYCLE, "node")
                        .with("incarnation", daemon.identity.incarnation())
                        .with("domain", settings.domain())
                        .with("caller-address", settings.callerAddress())
                        .with("admin-address", settings.adminAddress())
                        .with("peer-address", settings.peerAddress())
                        .with("took-ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started)));
        return daemon;
    }

    private static TraceHeader header(NodeSettings settings, long startMillis) {
        NodeIdentity identity = new NodeIdentity(
                settings.node(), Incarnation.of(startMillis), settings.domain(), settings.peerAddress());
        long seed = startMillis ^ settings.node().value().hashCode();
        return new TraceHeader(identity, settings.policy(), seed);
    }

    private static Optional<TraceWriter> startTrace(NodeSettings settings, TraceHeader header) throws StepException {
        if (settings.traceFile().isEmpty()) {
            return Optional.empty();
        }
        Path file = settings.traceFile().get();
        try {
            return Optional.of(TraceWriter.start(file, header));
        } catch (IOException e) {
            throw new StepException(Step.LIFECYCLE, file.toString(), "cannot write the trace: " + e, e);
        }
    }

    /** Blocks until the core reports {@code NodePhase.LEFT}. */
    void awaitLeft() throws InterruptedException {
        readiness.awaitLeft();
    }

    /** Drains and stops the node; returns whether it left in time (drain deadline and margin) with all answers sent. */
    boolean drainAndStop(String reason) {
        control.post(new DrainRequested(reason));
        Duration timeout = settings.policy()
                .drainDelay()
                .plus(settings.policy().drainDeadline())
                .plus(DRAIN_MARGIN);
        boolean left = readiness.awaitLeft(timeout) && awaitLastAnswers();
        LOG.atInfo().log("%s", LogLine.of("stopped", Step.LIFECYCLE, "node").with("left", left));
        close();
        return left;
    }

    private boolean awaitLastAnswers() {
        try {
            return callerServer.awaitAllAnswered(settings.limits().http().sendTimeout());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void openPorts() throws StepException {
        peers.open();
        callerServer.serve(callerApi.application());
        adminServer.serve(adminApi.application());
    }

    private ActionRouter actions() {
        return ActionRouter.builder()
                .on(SendTask.class, endpoints::send)
                .on(StopTask.class, endpoints::stop)
                .on(ProbeEndpoint.class, endpoints::probe)
                .on(AnswerComplete.class, callerApi.answers()::answerComplete)
                .on(AnswerProblem.class, callerApi.answers()::answerProblem)
                .on(AnswerFromPeer.class, callerApi.answers()::answerFromPeer)
                .on(AnswerSameAs.class, callerApi.answers()::answerSameAs)
                .on(ForgetAnswer.class, callerApi.answers()::forget)
                .on(WriteClaims.class, platformShell::writeClaims)
                .on(ReadClaims.class, platformShell::readClaims)
                .on(ReleaseClaim.class, platformShell::releaseClaim)
                .on(SweepClaims.class, platformShell::sweepClaims)
                .on(ReadVmList.class, platformShell::readVmList)
                .on(ReadConfigurationRow.class, platformShell::readConfigurationRow)
                .on(LoadConfiguration.class, this::loadConfiguration)
                .on(AskPeerAnswer.class, peers::askAnswer)
                .on(GivePeerAnswer.class, peers::giveAnswer)
                .on(SendReport.class, peers::sendReport)
                .on(ConfigurationInForce.class, this::onConfigurationInForce)
                .on(PhaseChanged.class, this::onPhaseChanged)
                .on(Note.class, this::onNote)
                .on(WakeAt.class, wake -> {})
                .build();
    }

    private void onPlatformEvent(Event event) {
        if (event instanceof VmListRead list) {
            peers.updateAddresses(list.vms());
        }
        control.post(event);
    }

    private void loadConfiguration(LoadConfiguration action) {
        if (action.peer().isPresent()) {
            peers.loadConfiguration(action);
        } else {
            platformShell.loadConfiguration(action);
        }
    }

    private void onConfigurationInForce(ConfigurationInForce action) {
        catalog.set(action.catalog());
        LOG.atInfo().log(
                "%s",
                LogLine.of("configuration-in-force", Step.CONFIGURE, action.source())
                        .with("version", action.catalog().version())
                        .with("digest", action.catalog().digest()));
    }

    private void onPhaseChanged(PhaseChanged action) {
        LOG.atInfo().log(
                "%s",
                LogLine.of("phase-changed", Step.LIFECYCLE, "node")
                        .with("phase", action.phase().word())
                        .with("reason", action.reason()));
        readiness.enter(action.phase());
    }

    private void onNote(Note note) {
        NoteLog.write(note);
        metrics.countNote(note);
        if (note.event() == NoteEvent.TASK_RETRIED) {
            metrics.countWastedMessage(WasteKind.REPEATED_SEND);
        }
    }

    private void addGauges() {
        metrics.addGauge(
                "control.queue.events", null, "Events that wait for the control thread", control::waitingEvents);
        metrics.addGauge("callers.waiting", null, "Callers who wait for an answer", callerApi::waitingCallers);
        metrics.addGauge("bodies.stored", "bytes", "Bytes of inputs and results kept", bodies::bytes);
        metrics.addGauge("endpoint.exchanges", null, "Exchanges with endpoints under way", endpoints::openExchanges);
    }

    private void close() {
        callerServer.stop();
        adminServer.stop();
        control.stop();
        trace.ifPresent(TraceWriter::close);
        peers.close();
        endpoints.close();
        platformShell.close();
        platform.close();
        adminApi.close();
        metrics.close();
    }
}
