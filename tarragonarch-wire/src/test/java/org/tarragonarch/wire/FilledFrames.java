package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;

/** Frames of every type whose fields all have different values, so that swapped fields change the encoded bytes. */
final class FilledFrames {
    static final Hello SENDER = Hello.of(NodeId.of("n1"), Incarnation.of(11), FailureDomain.of("d1"));

    private static final JobId JOB = new JobId("0123456789abcdef");
    private static final Address ADDRESS = new Address("10.0.0.1", 7_001);

    private FilledFrames() {}

    /** Returns the frames by their labels in the resource of recorded bytes. */
    static ImmutableMap<String, Frame> byLabel() {
        ImmutableMap.Builder<String, Frame> frames = ImmutableMap.builder();
        frames.put("hello", SENDER);
        frames.put("report", report(NodePhase.SERVING));
        frames.put(
                "answer-asked",
                new AnswerAsked(12, new ClaimKey(ServiceName.of("s1"), CallerName.of("c1"), new IdempotencyKey("k1"))));
        frames.put("answer-given/complete", AnswerGiven.complete(13, Samples.payload("[1]")));
        frames.put("answer-given/problem", problem(ProblemCode.TASK_FAILED, Step.RUN));
        frames.put("answer-given/not-to-be-had", AnswerGiven.unavailable(15));
        frames.put("configuration-asked", new ConfigurationAsked(ConfigurationVersion.of(16)));
        frames.put("configuration-given/none", ConfigurationGiven.unavailable(ConfigurationVersion.of(17)));
        frames.put(
                "configuration-given",
                ConfigurationGiven.of(
                        ConfigurationVersion.of(18), ContentDigest.of(new byte[] {1}), Samples.payload("{}")));
        frames.put("status", new StatusFrame(status(true, false)));
        frames.put("status/without-holder", new StatusFrame(status(false, true)));
        frames.put("job-offered/at-once", offered(OfferTerms.AT_ONCE, false));
        frames.put("job-offered/may-wait", offered(OfferTerms.MAY_WAIT, true));
        frames.put("job-settled/done", settled(Verdict.DONE));
        frames.put("job-settled/failed", settled(Verdict.FAILED));
        frames.put("job-settled/declined", settled(Verdict.DECLINED));
        frames.put("job-settled/too-late", settled(Verdict.TOO_LATE));
        frames.put("job-settled/hold-lost", settled(Verdict.HOLD_LOST));
        frames.put("job-settled/returned", settled(Verdict.RETURNED));
        frames.put("job-settled/evicted", settled(Verdict.EVICTED));
        frames.put("job-settled/not-at-once", settled(Verdict.NOT_AT_ONCE));
        frames.put("job-withdrawn", new JobWithdrawn(JOB));
        frames.put("cancel-asked", new CancelAsked(JOB));
        frames.put("cancel-answered/known", new CancelAnswered(JOB, true));
        frames.put("cancel-answered/unknown", new CancelAnswered(JOB, false));
        frames.put("endpoints-asked", new EndpointsAsked());
        frames.put("endpoints-given", new EndpointsGiven(ImmutableList.of(entry(true, false), entry(false, true))));
        frames.put("endpoint-changes-asked", new EndpointChangesAsked(4_711));
        frames.put("endpoint-changes-given", new EndpointChangesGiven(4_712, ImmutableList.of(entry(true, false))));
        frames.put("nodes-asked", new NodesAsked());
        frames.put(
                "nodes-given",
                new NodesGiven(ImmutableList.of(new Member(NodeId.of("n2"), FailureDomain.of("d2"), ADDRESS, 19))));
        frames.put("open-jobs", new OpenJobs(ImmutableSet.of(JOB, new JobId("fedcba9876543210"))));
        return frames.build();
    }

    static ReportFrame report(NodePhase phase) {
        return new ReportFrame(new PeerReport(
                SENDER.node(),
                SENDER.incarnation(),
                20,
                SENDER.domain(),
                phase,
                ConfigurationVersion.of(21),
                ImmutableList.of(
                        new EndpointLoad(EndpointId.of("w-1"), 22), new EndpointLoad(EndpointId.of("w-2"), 23)),
                true,
                ImmutableSet.of(EndpointId.of("w-3")),
                ImmutableSet.of(EndpointId.of("w-4"))));
    }

    static AnswerGiven problem(ProblemCode code, Step step) {
        Problem problem = Problem.of(code, step, "p1", "t1")
                .withRetryAfter(Duration.ofMillis(24))
                .withTask(TaskId.parse("n1_11_25_26"));
        return AnswerGiven.problem(14, problem);
    }

    private static NodeStatus status(boolean leaving, boolean missesHolder) {
        HeldShard shard = new HeldShard(
                FailureDomain.of("d3"), new FencingToken(27), 28, ImmutableList.of(new ShareUse(29, 30_000)));
        DrainedDomains drained = new DrainedDomains(31, ImmutableSet.of(FailureDomain.of("d4")));
        return new NodeStatus(
                NodeId.of("n3"),
                FailureDomain.of("d5"),
                ADDRESS,
                32,
                leaving,
                missesHolder,
                33,
                drained,
                ImmutableList.of(shard),
                StatusNumber.of(44),
                ImmutableMap.of(NodeId.of("n5"), StatusNumber.of(45), NodeId.of("n6"), StatusNumber.of(46)));
    }

    private static JobOffered offered(OfferTerms terms, boolean fromOwnDomain) {
        QueueDefinition queue = new QueueDefinition("q1", "h1", "/p1/", "s2", 1, 2, 1.5, 34);
        JobRequest job = new JobRequest(JOB, "t2", new TaskStep(3, new Resources(35, 36, 4), 37));
        EarlierRuns earlier = new EarlierRuns(38, ImmutableSet.of(FailureDomain.of("d6")));
        return new JobOffered(new Offer(
                job,
                queue,
                NodeId.of("n4"),
                OfferNumber.of(42),
                39,
                40,
                earlier,
                terms,
                fromOwnDomain,
                StatusNumber.of(47)));
    }

    private static JobSettled settled(Verdict verdict) {
        return new JobSettled(new JobVerdict(JOB, OfferNumber.of(43), verdict, 41));
    }

    private static EndpointEntry entry(boolean draining, boolean cold) {
        EndpointIncarnation incarnation = new EndpointIncarnation(EndpointId.of("w-5"), 42);
        return new EndpointEntry(
                incarnation, "s3", ADDRESS, FailureDomain.of("d7"), draining, new Resources(43, 44, 5), cold);
    }
}
