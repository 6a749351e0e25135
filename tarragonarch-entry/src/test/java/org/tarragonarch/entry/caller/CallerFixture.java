package org.tarragonarch.entry.caller;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.ForgetAnswer;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.control.ControlLoop;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.http.ApiServer;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.ServiceCatalog;

/** The caller API on a real port with a real control thread and a fake core. */
public final class CallerFixture implements AutoCloseable {
    static final String TOKEN = "the-token-of-the-upload-page";

    final BodyStore bodies;
    final Readiness readiness = Readiness.create();
    final CatalogInForce catalog = CatalogInForce.create();
    final NodeMetrics metrics = NodeMetrics.create(NodeId.of("hobart-1"));
    final ApiServer server;
    private final ControlLoop control;
    private final AnswerSender answers;

    private CallerFixture(FakeCore core, HttpLimits limits, long maxBodyBytes) throws StepException {
        bodies = BodyStore.create(maxBodyBytes);
        control = ControlLoop.create(core, EventRecorder.NONE);
        NodeIdentity identity = new NodeIdentity(
                NodeId.of("hobart-1"), Incarnation.of(7), FailureDomain.of("hobart"), Address.parse("127.0.0.1:1"));
        CallerApi api = CallerApi.create(identity, catalog, readiness, bodies, control, metrics);
        answers = api.answers();
        server = ApiServer.create(
                new InetSocketAddress("127.0.0.1", 0), limits, metrics.httpEvents("caller"), "test-caller", 2);
        server.serve(api.application());
        control.start(this::perform);
    }

    static CallerFixture start(FakeCore core) throws StepException {
        return start(core, HttpLimits.DEFAULT, 64 << 20);
    }

    static CallerFixture start(FakeCore core, HttpLimits limits, long maxBodyBytes) throws StepException {
        CallerFixture fixture = new CallerFixture(core, limits, maxBodyBytes);
        fixture.catalog.set(catalog());
        fixture.readiness.enter(NodePhase.SERVING);
        return fixture;
    }

    static CallerFixture startWithoutConfiguration(FakeCore core) throws StepException {
        return new CallerFixture(core, HttpLimits.DEFAULT, 64 << 20);
    }

    static ServiceCatalog catalog() {
        CallerName name = CallerName.of("upload-page");
        ContentDigest digest = ContentDigest.of(TOKEN.getBytes(StandardCharsets.UTF_8));
        return new ServiceCatalog(
                ConfigurationVersion.of(1),
                ContentDigest.of(new byte[0]),
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableMap.of(name, new CallerDefinition(name, TeamName.of("proofreaders"), digest)),
                ImmutableMap.of(),
                ImmutableSet.of());
    }

    RawClient connect() {
        return RawClient.connect(server.port());
    }

    /** Performs an action as the daemon does, on the calling thread in place of the control thread. */
    void perform(Action action) {
        if (action instanceof AnswerComplete complete) {
            answers.answerComplete(complete);
        } else if (action instanceof AnswerProblem problem) {
            answers.answerProblem(problem);
        } else if (action instanceof AnswerSameAs same) {
            answers.answerSameAs(same);
        } else if (action instanceof ForgetAnswer forget) {
            answers.forget(forget);
        }
    }

    @Override
    public void close() {
        server.stop();
        control.stop();
        metrics.close();
    }
}
