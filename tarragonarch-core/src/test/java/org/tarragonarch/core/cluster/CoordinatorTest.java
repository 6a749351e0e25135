package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.Test;

/** Messages that one node sends, and their order, as its peers, endpoints and drained domains change. */
public final class CoordinatorTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final int MANY_ENDPOINTS = 120;

    private final VirtualTimers timers = new VirtualTimers();
    private final EndpointList endpoints = new EndpointList();
    private final List<String> sent = new ArrayList<>();
    private final Coordinator coordinator = coordinator();

    private Coordinator coordinator() {
        ImmutableMap<FailureDomain, Region> regions =
                ImmutableMap.of(HOBART, Region.of("south"), LAUNCESTON, Region.of("south"));
        Member self = new Member(NodeId.of("a"), HOBART, new Address("10.0.0.1", 7_000), 360);
        return new Coordinator(
                self,
                "10.0.0.1",
                new ShardPools(regions, endpoints),
                endpoints,
                PlacingSettings.of(1_000, 50),
                new SilentEndpoints(),
                new RecordingPeerSender(sent),
                timers,
                () -> 0,
                new CancelledJobs(timers, 120_000),
                new ShardObserver() {});
    }

    private void listEndpoints(int count) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
        coordinator.applyConfiguration(QueueCatalog.of(1, ImmutableList.of(queue)));
        for (int i = 0; i < count; i++) {
            FailureDomain domain = i % 2 == 0 ? HOBART : LAUNCESTON;
            endpoints.recordListed(
                    new EndpointEntry(
                            EndpointId.of("w-" + i),
                            "board",
                            new Address("10.0.1.1", 80),
                            domain,
                            false,
                            new Resources(1, 1, 0),
                            false),
                    0);
        }
        coordinator.endpointsChanged();
    }

    /** Guards against statuses to a whole region while its endpoints are read after a loss of power. */
    @Test
    public void testEndpointsChanged_statusGoesOnlyToThePool() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.coordinator.review(false);
        assertTrue(test.sent.contains("status to [hobart]"), test.sent.toString());
        assertEquals(ImmutableSet.copyOf(test.sent), ImmutableSet.of("status to [hobart]"));
    }

    /** Guards against a region with few endpoints, which is one pool, whose other domains are not sent a status. */
    @Test
    public void testEndpointsChanged_statusGoesToPooledRegion() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        assertTrue(test.sent.contains("status to [hobart, launceston]"), test.sent.toString());
    }

    /** Guards against jobs of a stopping holder that are offered to it again until its next status. */
    @Test
    public void testLeave_statusPrecedesReturnedJobs() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShardCount(), 1);
        test.coordinator.originMessages().offerReceived(offerOf("b"));
        test.sent.clear();
        test.coordinator.leave();
        assertEquals(test.coordinator.heldShardCount(), 0);
        int verdict = test.sent.indexOf("RETURNED to b");
        assertTrue(verdict > 0, test.sent.toString());
        assertEquals(test.sent.get(verdict - 1), "status to all, 0 shards, leaving");
    }

    /** Guards against two nodes that have offered a job to each other and tell of its cancellation forever. */
    @Test
    public void testJobCancelled_originIsToldOnce() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.review(true);
        Offer offer = offerOf("b");
        test.coordinator.originMessages().offerReceived(offer);
        test.sent.clear();
        assertTrue(test.coordinator.originMessages().jobCancelled(offer.job().id()));
        assertFalse(test.coordinator.originMessages().jobCancelled(offer.job().id()));
        assertEquals(test.sent, ImmutableList.of("cancellation to b"));
    }

    /** Guards against a holder that relies on a list that was read before it claimed the shard. */
    @Test
    public void testEndpointListNeed_claimed() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.endpoints.recordCurrentAsOf(test.timers.nowMillis());
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.OFTEN);
        test.timers.advance(100);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShardCount(), 1);
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.NOW);
        test.endpoints.recordCurrentAsOf(test.timers.nowMillis());
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.OFTEN);
    }

    private static DrainedDomains drained(long version, FailureDomain... domains) {
        return new DrainedDomains(version, ImmutableSet.copyOf(domains));
    }

    private static NodeStatus peerStatus(DrainedDomains drained) {
        Address address = new Address("10.0.0.2", 7_000);
        return new NodeStatus(NodeId.of("b"), HOBART, address, 360, false, false, 1, drained, ImmutableList.of());
    }

    private boolean acceptsTasks(FailureDomain domain) {
        return endpoints.inDomain(domain).stream().noneMatch(EndpointEntry::draining);
    }

    /** Guards against a domain that is drained in the store while its holder still places tasks there. */
    @Test
    public void testDrained_everyEndpointOfTheDomainDrains() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.drained(drained(7, HOBART), "store");
        assertFalse(test.acceptsTasks(HOBART));
        assertTrue(test.acceptsTasks(LAUNCESTON));
        test.coordinator.drained(drained(9), "store");
        assertTrue(test.acceptsTasks(HOBART));
    }

    /** Guards against a drain undone by a stale answer of the store, or by a peer that cannot reach the store. */
    @Test
    public void testDrained_olderReadingChangesNothing() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.drained(drained(7, HOBART), "store");
        test.coordinator.drained(drained(5), "store");
        test.coordinator.statusReceived(peerStatus(drained(6)));
        assertFalse(test.acceptsTasks(HOBART));
    }

    /** Guards against a holder that cannot read the store and never learns of a drain. */
    @Test
    public void testDrained_learnedFromPeer() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.statusReceived(peerStatus(drained(7, HOBART)));
        assertFalse(test.acceptsTasks(HOBART));
        assertEquals(test.coordinator.status().drained(), drained(7, HOBART));
    }

    /** Guards against a peer that cannot reach the store and learns of a drain only with the next periodic status. */
    @Test
    public void testDrained_peersAreNotifiedAtOnce() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.sent.clear();
        test.coordinator.drained(drained(7, HOBART), "store");
        assertEquals(test.sent, ImmutableList.of("status to [hobart, launceston]"));
        test.coordinator.drained(drained(8, HOBART), "store");
        assertEquals(test.sent.size(), 1);
    }

    /** Guards against tasks placed on an endpoint that is added to a domain after the domain was drained. */
    @Test
    public void testDrained_endpointAddedLaterIsDrained() {
        CoordinatorTest test = new CoordinatorTest();
        test.coordinator.drained(drained(7, HOBART, LAUNCESTON), "store");
        test.listEndpoints(10);
        assertFalse(test.acceptsTasks(HOBART));
        assertFalse(test.acceptsTasks(LAUNCESTON));
    }

    /** Guards against a job that waits for capacity although all domains are drained; it must be refused at once. */
    @Test
    public void testDrained_allDomains() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.review(true);
        test.timers.advance(4_000);
        test.coordinator.review(true);
        test.timers.advance(PeerTable.STATUS_PERIOD_MILLIS / 2);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShardCount(), 2);
        test.coordinator.drained(drained(7, HOBART, LAUNCESTON), "store");
        List<JobReply> replies = new ArrayList<>();
        Offer offer = offerOf("a");
        test.coordinator.router().submit(offer.queue(), offer.job(), 3_000, replies::add);
        assertEquals(replies.size(), 1);
        assertEquals(replies.get(0).outcome(), JobOutcome.REFUSED);
        assertTrue(replies.get(0).retryMillis() > 0, "no retry delay");
    }

    /** Guards against a job that is offered first to the holder of its own drained domain, which declines it. */
    @Test
    public void testDrained_holderOfDrainedDomainIsLast() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.coordinator.review(true);
        HeldShard other = new HeldShard(LAUNCESTON, FencingToken.of(1, "10.0.0.2"), 1);
        test.coordinator.statusReceived(peerStatus(drained(7, HOBART)).withShards(ImmutableList.of(other)));
        Offer offer = offerOf("a");
        test.coordinator.router().submit(offer.queue(), offer.job(), 3_000, reply -> {});
        assertTrue(test.sent.contains("offer to b"), test.sent.toString());
    }

    /** Guards against a holder that is fenced at its first order by a token that another node has released. */
    @Test
    public void testReview_otherNodeHasReleasedShardUnderHigherToken() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShardCount(), 1);
        HeldShard claimed = new HeldShard(HOBART, FencingToken.of(1_000, "10.0.0.2"), 1);
        test.coordinator.statusReceived(peerStatus(drained(7)).withShards(ImmutableList.of(claimed)));
        test.coordinator.statusReceived(peerStatus(drained(7)));
        test.timers.advance(4_000);
        test.coordinator.review(true);
        HeldShard held = test.coordinator.status().shards().stream()
                .filter(shard -> shard.domain().equals(HOBART))
                .findFirst()
                .orElseThrow();
        assertTrue(held.token().compareTo(claimed.token()) > 0, held.toString());
    }

    private static Offer offerOf(String origin) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
        TaskStep step = new TaskStep(1, new Resources(1, 1, 0), 60);
        JobRequest job = new JobRequest(new JobId("00000000000000aa"), "x", step);
        return new Offer(job, queue, NodeId.of(origin), 0, 3_000, EarlierRuns.NONE);
    }

    /** Endpoints that never answer. */
    private static final class SilentEndpoints implements EndpointOrders {
        @Override
        public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
            // Never answers.
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            // Never answers.
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            // Never answers.
        }
    }
}
