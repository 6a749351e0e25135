package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;

/** Sample frames and their parts. */
final class Samples {
    static final Hello HOBART = hello("hobart-1", 7);

    private Samples() {}

    static Hello hello(String node, long incarnation) {
        return Hello.of(NodeId.of(node), Incarnation.of(incarnation), FailureDomain.of("hobart"));
    }

    static PeerReport report(Hello from, long sequence, ImmutableList<EndpointLoad> loads) {
        return new PeerReport(
                from.node(),
                from.incarnation(),
                sequence,
                from.domain(),
                NodePhase.SERVING,
                ConfigurationVersion.of(3),
                loads,
                true,
                ImmutableSet.of(),
                ImmutableSet.of());
    }

    static ReportFrame reportFrame(Hello from, long sequence) {
        return new ReportFrame(report(from, sequence, ImmutableList.of()));
    }

    static AnswerAsked request(long number) {
        return new AnswerAsked(
                number,
                new ClaimKey(ServiceName.of("board"), CallerName.of("upload-page"), new IdempotencyKey("key-1")));
    }

    static Payload payload(String text) {
        return Payload.of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns sample frames of the hello, report, answer and configuration types, in each form. */
    static ImmutableList<Frame> allFrames() {
        PeerReport report = new PeerReport(
                HOBART.node(),
                HOBART.incarnation(),
                300,
                HOBART.domain(),
                NodePhase.DRAINING,
                ConfigurationVersion.of(12),
                ImmutableList.of(load("w-01", 3), load("w-02", 0), load("w-1", 70_000)),
                false,
                ImmutableSet.of(EndpointId.of("w-07"), EndpointId.of("w-08")),
                ImmutableSet.of(EndpointId.of("x")));
        Problem problem = Problem.of(ProblemCode.ANSWER_LOST, Step.COLLECT, "w-01", "the connection broke \u2013 late")
                .withRetryAfter(Duration.ofMillis(1500))
                .withTask(TaskId.parse("hobart-1_7_42_5"));
        return ImmutableList.of(
                HOBART,
                new ReportFrame(report),
                reportFrame(HOBART, Long.MAX_VALUE),
                request(9),
                AnswerGiven.complete(9, payload("[1,2]")),
                AnswerGiven.problem(10, problem),
                AnswerGiven.problem(10, Problem.of(ProblemCode.CANCELLED, Step.QUEUE, "caller", "")),
                AnswerGiven.unavailable(11),
                new ConfigurationAsked(ConfigurationVersion.of(4)),
                ConfigurationGiven.unavailable(ConfigurationVersion.of(4)),
                ConfigurationGiven.of(
                        ConfigurationVersion.of(5),
                        ContentDigest.of(payload("{}").bytes()),
                        payload("{}")));
    }

    static EndpointLoad load(String endpoint, int inFlight) {
        return new EndpointLoad(EndpointId.of(endpoint), inFlight);
    }

    static Optional<Hello> sender() {
        return Optional.of(HOBART);
    }
}
