package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
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

/** Sample frames of placing: statuses, offers and verdicts, cancellation, and the lists of endpoints and nodes. */
final class PlacingSamples {
    private static final FailureDomain SHARD = FailureDomain.of("hobart");
    private static final NodeId NODE = NodeId.of("front-hobart-1");
    private static final JobId JOB = new JobId("5c0e7a21d94b36f8");
    private static final Address ADDRESS = new Address("10.1.0.13", 7_720);

    private PlacingSamples() {}

    static ImmutableList<Frame> allFrames() {
        ShareUse use = new ShareUse(2, 96_000);
        HeldShard held = new HeldShard(SHARD, new FencingToken((1L << 53) + 1), 176_000, ImmutableList.of(use));
        DrainedDomains drained = new DrainedDomains((1L << 40) + 7, ImmutableSet.of(SHARD));
        NodeStatus holding = new NodeStatus(NODE, SHARD, ADDRESS, 750, false, true, 12, drained, ImmutableList.of(held))
                .withNumber(StatusNumber.of(14), ImmutableMap.of(NodeId.of("front-launceston-1"), StatusNumber.of(15)));
        NodeStatus leaving =
                new NodeStatus(NODE, SHARD, ADDRESS, 1_500, true, false, 0, DrainedDomains.UNREAD, ImmutableList.of());
        Resources capacity = new Resources(16_000, 32_768, 1);
        EndpointIncarnation incarnation = new EndpointIncarnation(EndpointId.of("i-1"), 1_700_000_000_123L);
        EndpointEntry entry = new EndpointEntry(incarnation, "board", ADDRESS, SHARD, true, capacity, true);
        return ImmutableList.of(
                new StatusFrame(holding),
                new StatusFrame(leaving),
                new JobOffered(offer()),
                new JobOffered(offerAtOnce()),
                new JobSettled(new JobVerdict(JOB, OfferNumber.of(9), Verdict.DECLINED, 250)),
                new JobWithdrawn(JOB),
                new CancelAsked(JOB),
                new CancelAnswered(JOB, true),
                new EndpointsAsked(),
                new EndpointsGiven(ImmutableList.of()),
                new EndpointsGiven(ImmutableList.of(entry)),
                new EndpointChangesAsked(0),
                new EndpointChangesGiven(0, ImmutableList.of()),
                new EndpointChangesGiven(Long.MAX_VALUE, ImmutableList.of(entry)),
                new NodesAsked(),
                new NodesGiven(ImmutableList.of(new Member(NODE, FailureDomain.of("hobart"), ADDRESS, 360))),
                new OpenJobs(ImmutableSet.of()),
                new OpenJobs(ImmutableSet.of(JOB)));
    }

    static Offer offer() {
        QueueDefinition queue = new QueueDefinition("q", "h", "/p/", "board", 2, 4, 1.6, 60);
        TaskStep step = new TaskStep(8, new Resources(6_800, 64, 0), 0);
        EarlierRuns earlier = new EarlierRuns(1_050, ImmutableSet.of(SHARD));
        return new Offer(new JobRequest(JOB, "\u2013 text", step), queue, NODE, 3, 1_500, earlier);
    }

    private static Offer offerAtOnce() {
        Offer offer = offer();
        return new Offer(
                offer.job(),
                offer.queue(),
                NODE,
                OfferNumber.of(9),
                0,
                1_500,
                EarlierRuns.NONE,
                OfferTerms.AT_ONCE,
                false);
    }
}
