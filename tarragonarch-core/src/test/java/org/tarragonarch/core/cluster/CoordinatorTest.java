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
import org.tarragonarch.core.shard.EndpointList;
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
import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.HoldOrder;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.Test;

/** Whom one node speaks to, and in which order, as its surroundings change. */
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
                new ShardObserver() {});
    }

    private void listEndpoints(int count) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
        coordinator.configured(QueueCatalog.of(1, ImmutableList.of(queue)));
        for (int i = 0; i < count; i++) {
            FailureDomain domain = i % 2 == 0 ? HOBART : LAUNCESTON;
            endpoints.listed(new EndpointEntry(
                    EndpointId.of("w-" + i),
                    "board",
                    new Address("10.0.1.1", 80),
                    domain,
                    false,
                    new Resources(1, 1, 0),
                    false));
        }
        coordinator.endpointsChanged();
    }

    /** Guards against greetings to a whole region while its endpoints are read after a loss of power. */
    @Test
    public void testEndpointsChanged_onlyThePoolIsGreeted() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.coordinator.review(false);
        assertTrue(test.sent.contains("status to [hobart]"), test.sent.toString());
        assertEquals(ImmutableSet.copyOf(test.sent), ImmutableSet.of("status to [hobart]"));
    }

    /** Few endpoints: the region is one pool, and the nodes of its other domains are greeted once that is known. */
    @Test
    public void testEndpointsChanged_pooledRegionIsGreeted() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        assertTrue(test.sent.contains("status to [hobart, launceston]"), test.sent.toString());
    }

    /** Guards against jobs of a stopping holder that are offered to it again until its next status. */
    @Test
    public void testLeave_statusGoesBeforeTheJobs() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShards(), 1);
        test.coordinator.offered(offerOf("b"));
        test.sent.clear();
        test.coordinator.leave();
        assertEquals(test.coordinator.heldShards(), 0);
        int verdict = test.sent.indexOf("RETURNED to b");
        assertTrue(verdict > 0, test.sent.toString());
        assertEquals(test.sent.get(verdict - 1), "status to all, 0 shards, leaving");
    }

    /** Guards against a holder that goes by a list which was read before it claimed the shard. */
    @Test
    public void testEndpointListNeed_claimed() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.endpoints.currentAsOf(test.timers.nowMillis());
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.OFTEN);
        test.timers.advance(100);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShards(), 1);
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.NOW);
        test.endpoints.currentAsOf(test.timers.nowMillis());
        assertEquals(test.coordinator.endpointListNeed(), EndpointListNeed.OFTEN);
    }

    private static DrainedDomains drained(long version, FailureDomain... domains) {
        return new DrainedDomains(version, ImmutableSet.copyOf(domains));
    }

    private static NodeStatus peerStatus(DrainedDomains drained) {
        Address address = new Address("10.0.0.2", 7_000);
        return new NodeStatus(NodeId.of("b"), HOBART, address, 360, false, false, 1, drained, ImmutableList.of());
    }

    private boolean takesWork(FailureDomain domain) {
        return endpoints.of(domain).stream().noneMatch(EndpointEntry::draining);
    }

    /** Guards against a domain that is drained in the store and goes on taking work at its holder. */
    @Test
    public void testDrained_everyEndpointOfTheDomainDrains() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.drained(drained(7, HOBART), "store");
        assertFalse(test.takesWork(HOBART));
        assertTrue(test.takesWork(LAUNCESTON));
        test.coordinator.drained(drained(9), "store");
        assertTrue(test.takesWork(HOBART));
    }

    /** Guards against a drain that a stale answer of the store, or a peer that cannot reach it, undoes. */
    @Test
    public void testDrained_olderReadingChangesNothing() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.drained(drained(7, HOBART), "store");
        test.coordinator.drained(drained(5), "store");
        test.coordinator.received(peerStatus(drained(6)));
        assertFalse(test.takesWork(HOBART));
    }

    /** Guards against a holder that the store turns away and that never hears of a drain. */
    @Test
    public void testDrained_isHeardOfFromAPeer() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.received(peerStatus(drained(7, HOBART)));
        assertFalse(test.takesWork(HOBART));
        assertEquals(test.coordinator.status().drained(), drained(7, HOBART));
    }

    /** Guards against a peer that cannot reach the store and learns of a drain only with the next heartbeat. */
    @Test
    public void testDrained_peersAreToldAtOnce() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.sent.clear();
        test.coordinator.drained(drained(7, HOBART), "store");
        assertEquals(test.sent, ImmutableList.of("status to [hobart, launceston]"));
        test.coordinator.drained(drained(8, HOBART), "store");
        assertEquals(test.sent.size(), 1);
    }

    /** Guards against an endpoint that is added to a drained domain and takes work. */
    @Test
    public void testDrained_laterEndpointsAreDrainedToo() {
        CoordinatorTest test = new CoordinatorTest();
        test.coordinator.drained(drained(7, HOBART, LAUNCESTON), "store");
        test.listEndpoints(10);
        assertFalse(test.takesWork(HOBART));
        assertFalse(test.takesWork(LAUNCESTON));
    }

    /** Guards against a job that waits for room in drained domains: with all of them drained it is refused at once. */
    @Test
    public void testDrained_allDomains() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(10);
        test.coordinator.review(true);
        test.timers.advance(4_000);
        test.coordinator.review(true);
        assertEquals(test.coordinator.heldShards(), 2);
        test.coordinator.drained(drained(7, HOBART, LAUNCESTON), "store");
        List<JobReply> replies = new ArrayList<>();
        Offer offer = offerOf("a");
        test.coordinator.router().submit(offer.queue(), offer.job(), 3_000, replies::add);
        assertEquals(replies.size(), 1);
        assertEquals(replies.get(0).outcome(), JobOutcome.REFUSED);
        assertTrue(replies.get(0).retryMillis() > 0, "no time to come back");
    }

    /** Guards against jobs of a drained domain's clients that go to its own holder first, which declines them all. */
    @Test
    public void testDrained_holderOfADrainedDomainIsAskedLast() {
        CoordinatorTest test = new CoordinatorTest();
        test.listEndpoints(MANY_ENDPOINTS);
        test.coordinator.review(true);
        HeldShard other = new HeldShard(LAUNCESTON, FencingToken.of(1, "10.0.0.2"), 1);
        test.coordinator.received(peerStatus(drained(7, HOBART)).withShards(ImmutableList.of(other)));
        Offer offer = offerOf("a");
        test.coordinator.router().submit(offer.queue(), offer.job(), 3_000, reply -> {});
        assertTrue(test.sent.contains("offer to b"), test.sent.toString());
    }

    private static Offer offerOf(String origin) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
        TaskStep step = new TaskStep(1, new Resources(1, 1, 0), 60);
        JobRequest job = new JobRequest(new JobId("00000000000000aa"), "x", step);
        return new Offer(job, queue, NodeId.of(origin), 0, 3_000, EarlierRuns.NONE);
    }

    /** Endpoints that answer nothing. */
    private static final class SilentEndpoints implements EndpointOrders {
        @Override
        public void hold(EndpointEntry entry, HoldOrder order, Delivery delivery, Consumer<HoldAnswer> reply) {
            // No answer comes.
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            // No answer comes.
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            // No answer comes.
        }
    }
}
