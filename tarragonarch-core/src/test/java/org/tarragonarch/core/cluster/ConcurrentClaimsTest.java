package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;
import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.testng.annotations.Test;

/**
 * Two nodes that claim the same shards before they know of each other: the one that keeps a shard needs a higher token
 * than the one that has released it.
 */
public final class ConcurrentClaimsTest {
    private static final int ENDPOINTS_PER_DOMAIN = 4;
    private static final int TASKS_OF_A_DOMAIN = 2 * ENDPOINTS_PER_DOMAIN;

    /** The time until the first jobs; after it every shard has had its final holder for long. */
    private static final long IDLE_MILLIS = 14_000;

    private static final long RUN_MILLIS = 3_000;

    /** Of each of the two shards: one claim by each node, one anew, and one when the pool gets a single holder. */
    private static final int MAX_CLAIMS = 2 * 4;

    private static final ImmutableList<Integer> STARTS_APART_MILLIS = ImmutableList.of(-30, -8, -3, 0, 3, 8, 30);

    private final FakeCluster cluster;
    private final CountingOrders orders;
    private final List<FakeNode> nodes = new ArrayList<>();

    /** Creates a test of separate pools. */
    public ConcurrentClaimsTest() {
        this(new FakeCluster());
    }

    private ConcurrentClaimsTest(FakeCluster cluster) {
        this.cluster = cluster;
        this.orders = new CountingOrders(cluster.orders);
    }

    /**
     * Guards against a holder that is fenced at its first order, and against two nodes that claim a shard from each
     * other in turn, each time reading the lists of all its endpoints on new connections.
     */
    @Test
    public void testStart_pooledDomains() {
        List<String> broken = new ArrayList<>();
        for (int apart : STARTS_APART_MILLIS) {
            for (boolean isHobartFirstByName : new boolean[] {true, false}) {
                ConcurrentClaimsTest test = new ConcurrentClaimsTest(FakeCluster.pooled());
                test.addEndpointsAndNodes(isHobartFirstByName);
                // A weaker node of the first domain, which knows both: the other domain's node thus claims both shards.
                FakeNode weaker = test.addNode("m", 3, HOBART, 750);
                weaker.start(FakeCluster.catalog(1));
                test.startApart(apart, 212 + Math.abs(apart));
                broken.addAll(test.faults("apart " + apart + " ms, first by name: " + isHobartFirstByName));
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    /** Guards against the same of a holder whose shard the other domain's holder has taken for lost. */
    @Test
    public void testStart_separatePoolsMeetAfterForeignClaim() {
        List<String> broken = new ArrayList<>();
        for (int apart : STARTS_APART_MILLIS) {
            for (boolean isHobartFirstByName : new boolean[] {true, false}) {
                ConcurrentClaimsTest test = new ConcurrentClaimsTest(new FakeCluster());
                test.addEndpointsAndNodes(isHobartFirstByName);
                test.startApart(apart, 4_000);
                broken.addAll(test.faults("apart " + apart + " ms, first by name: " + isHobartFirstByName));
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    private void addEndpointsAndNodes(boolean isHobartFirstByName) {
        for (int number = 0; number < ENDPOINTS_PER_DOMAIN; number++) {
            cluster.addEndpoint("h-" + number, HOBART);
            cluster.addEndpoint("l-" + number, LAUNCESTON);
        }
        addNode(isHobartFirstByName ? "a" : "b", 1, HOBART, 900);
        addNode(isHobartFirstByName ? "b" : "a", 2, LAUNCESTON, 900);
    }

    private FakeNode addNode(String name, int number, FailureDomain domain, int milliCores) {
        FakeNode node = cluster.addNode(name, number, domain, milliCores, orders, cluster.timers);
        nodes.add(node);
        return node;
    }

    /** Starts the second domain's node this long after the first domain's, which may be negative. */
    private void startApart(int millis, long untilMeetingMillis) {
        // Terms are tenths of a second: the claims, 0.2 s after the starts, fall into different ones.
        cluster.timers.advance(95);
        FakeNode hobart = nodes.get(0);
        FakeNode launceston = nodes.get(1);
        cluster.connections.stallAll(hobart.id(), launceston.id(), untilMeetingMillis);
        cluster.connections.stallAll(launceston.id(), hobart.id(), untilMeetingMillis);
        (millis >= 0 ? hobart : launceston).start(FakeCluster.catalog(1));
        cluster.timers.advance(Math.abs(millis));
        (millis >= 0 ? launceston : hobart).start(FakeCluster.catalog(1));
    }

    /** Runs the first jobs after an idle time, and returns what was wrong. */
    private List<String> faults(String scenario) {
        cluster.timers.advance(IDLE_MILLIS);
        int fencings = nodes.stream().mapToInt(FakeNode::fencings).sum();
        List<JobReply> replies = new ArrayList<>();
        cluster.submit(nodes.get(0), 1, TASKS_OF_A_DOMAIN, replies::add);
        cluster.submit(nodes.get(1), 2, TASKS_OF_A_DOMAIN, replies::add);
        cluster.timers.advance(RUN_MILLIS + 1_000);
        int claims = nodes.stream().mapToInt(FakeNode::claims).sum();
        List<String> faults = new ArrayList<>(cluster.ledger.violations());
        if (nodes.stream().mapToInt(FakeNode::fencings).sum() > fencings) {
            faults.add("fenced at the first order");
        }
        if (replies.size() != 2 || !replies.stream().allMatch(reply -> reply.outcome() == JobOutcome.DONE)) {
            faults.add("replies " + replies);
        }
        if (claims > MAX_CLAIMS || orders.newConnections > claims * ENDPOINTS_PER_DOMAIN) {
            faults.add(claims + " claims, " + orders.newConnections + " new connections");
        }
        return faults.isEmpty() ? ImmutableList.of() : ImmutableList.of(scenario + ": " + faults);
    }

    /** Guards against a claim that ends the runs in progress under the present token. */
    @Test
    public void testReviewShards_surpassedWhileJobRuns() {
        ConcurrentClaimsTest test = new ConcurrentClaimsTest();
        FakeEndpoint endpoint = test.cluster.addEndpoint("h-0", HOBART);
        FakeNode holder = test.startHolder();
        List<JobReply> replies = new ArrayList<>();
        test.cluster.submit(holder, 1, 2, replies::add);
        test.cluster.timers.advance(500);
        assertEquals(endpoint.running(), 2);
        test.surpassAndRelease(holder);
        test.cluster.timers.advance(2_000);
        assertEquals(holder.claims(), 1);
        assertEquals(endpoint.running(), 2);
        test.cluster.timers.advance(RUN_MILLIS);
        assertEquals(replies.size(), 1);
        assertEquals(replies.get(0).outcome(), JobOutcome.DONE);
        assertEquals(holder.claims(), 2);
        assertEquals(test.cluster.ledger.violations().toString(), "[]");
    }

    /** Guards against a claim after which runs that are being stopped no longer count as capacity in use. */
    @Test
    public void testReviewShards_surpassedWhileRunsAreStopped() {
        ConcurrentClaimsTest test = new ConcurrentClaimsTest();
        FakeEndpoint endpoint = test.cluster.addEndpoint("h-0", HOBART);
        FakeNode holder = test.startHolder();
        JobService.Submission job = test.cluster.submit(holder, 1, 2);
        test.cluster.timers.advance(500);
        job.clientLeft();
        test.surpassAndRelease(holder);
        assertEquals(endpoint.running(), 2);
        assertEquals(holder.claims(), 1);
        test.cluster.timers.advance(1_000);
        assertEquals(endpoint.running(), 0);
        assertEquals(holder.claims(), 2);
    }

    private FakeNode startHolder() {
        FakeNode holder = addNode("a", 1, HOBART, 900);
        addNode("b", 2, LAUNCESTON, 900);
        nodes.forEach(node -> node.start(FakeCluster.catalog(1)));
        cluster.timers.advance(1_000);
        assertEquals(holder.claims(), 1);
        return holder;
    }

    /** Lets the holder hear of a claim by the other domain's node, and of its release. */
    private void surpassAndRelease(FakeNode holder) {
        HeldShard claimed = new HeldShard(HOBART, FencingToken.of(1_000, "10.0.0.2"), 1);
        for (ImmutableList<HeldShard> held :
                ImmutableList.of(ImmutableList.of(claimed), ImmutableList.<HeldShard>of())) {
            holder.coordinator()
                    .statusReceived(new NodeStatus(
                            NodeId.of("b"),
                            LAUNCESTON,
                            new Address("10.0.0.2", 7_000),
                            750,
                            false,
                            false,
                            1,
                            DrainedDomains.UNREAD,
                            held));
            holder.coordinator().reviewShards();
        }
    }

    /** Counts the polls that open a new connection. */
    private static final class CountingOrders implements EndpointOrders {
        private final EndpointOrders delegate;
        private int newConnections;

        CountingOrders(EndpointOrders delegate) {
            this.delegate = delegate;
        }

        @Override
        public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
            newConnections += delivery.newConnection() ? 1 : 0;
            delegate.poll(entry, order, delivery, reply);
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            delegate.start(entry, order, delivery, reply);
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            delegate.stop(entry, token, run, delivery, reply);
        }
    }
}
