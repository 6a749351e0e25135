package org.tarragonarch.core.shard;

import static org.tarragonarch.core.shard.ElectionFixture.HOBART;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.FakeOrders;
import org.tarragonarch.core.placing.Ledger;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EarlierRuns;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A holder dies while a task runs on an endpoint that the next holder's list lacks. */
public final class ListAtHandOverTest {
    private static final EndpointId LISTED = EndpointId.of("w-1");
    private static final EndpointId UNLISTED = EndpointId.of("w-2");
    private static final long TASK_MILLI_CORES = 7_000;

    /** Capacity for two tasks. */
    private static final Resources LARGE = new Resources(16_000, 32_768, 0);

    /** Capacity for one task; as the endpoint with the least free capacity it is used first. */
    private static final Resources SMALL = new Resources(8_000, 32_768, 0);

    private static final long DEADLINE_MILLIS = 6_000;

    /** A multiple of the period of reading the list, long enough that all departed endpoints are known. */
    private static final long READ_FOR_MILLIS = 18 * 900;

    /** How long the runs of a lost holder may continue after the loss was detected: the lease on the slowest clock. */
    private static final long RUNS_LAST_MILLIS = 1_050;

    private VirtualTimers timers;
    private Ledger ledger;
    private FakeOrders orders;
    private Map<EndpointId, EndpointEntry> store;
    private ListReadingNode first;
    private ListReadingNode second;

    @BeforeMethod
    public void create() {
        timers = new VirtualTimers();
        ledger = new Ledger();
        orders = new FakeOrders(timers, TASK_MILLI_CORES);
        store = new LinkedHashMap<>();
        first = new ListReadingNode("a", store, orders, timers);
        second = new ListReadingNode("b", store, orders, timers);
    }

    private FakeEndpoint register(EndpointId id, Resources capacity, long runMillis) {
        FakeEndpoint endpoint = new FakeEndpoint(timers, ledger, capacity.milliCores());
        endpoint.setRunMillis(runMillis);
        orders.add(id, endpoint);
        Address address = new Address("10.0.1.1", 80);
        store.put(id, new EndpointEntry(id, ListReadingNode.SERVICE, address, HOBART, false, capacity, false));
        return endpoint;
    }

    private static Offer offer(int tasks, long estimateMillis, long ageMillis, EarlierRuns earlierRuns) {
        QueueDefinition queue = new QueueDefinition("checks", "h", "/p/", ListReadingNode.SERVICE, 0, 3, 1.6, 60);
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), estimateMillis);
        JobRequest job = new JobRequest(new JobId(String.format("%016x", 1)), "x", step);
        return new Offer(job, queue, NodeId.of("c"), ageMillis, DEADLINE_MILLIS - ageMillis, earlierRuns);
    }

    private static Offer repeated(Offer offer, long laterMillis) {
        EarlierRuns earlierRuns = new EarlierRuns(RUNS_LAST_MILLIS, ImmutableSet.of(HOBART));
        TaskStep step = offer.job().step();
        return offer(step.count(), step.estimateMillis(), offer.ageMillis() + laterMillis, earlierRuns);
    }

    /** Lets the first node read the list and claim now, and the second read the list 0.2 s later. */
    private void firstClaims() {
        first.readListAfter(0);
        second.readListAfter(200);
        timers.advance(10);
        first.review();
        second.recordStatus(first.status());
        second.review();
        assertTrue(first.holdsShard());
        timers.advance(10 + READ_FOR_MILLIS);
    }

    /** Lets the first node die, and the second claim at once and receive the offer of the job. */
    private void secondTakesOver(Offer offer, long jobAgeMillis) {
        second.review();
        assertFalse(second.holdsShard());
        first.die();
        second.recordConnectionLost(first);
        second.review();
        assertTrue(second.holdsShard());
        second.offer(repeated(offer, jobAgeMillis));
    }

    private void assertEachTaskRanOnceAtATime() {
        String message = ledger.violations() + ", the next holder recovered on " + second.grounds();
        assertEquals(ledger.violations().size(), 0, message);
    }

    /** Guards against a task that runs twice because its endpoint joined after the next holder read the list. */
    @Test
    public void testOffer_endpointJoinedAfterListRead() {
        register(LISTED, LARGE, 900);
        firstClaims();
        timers.advance(2_900);
        FakeEndpoint joined = register(UNLISTED, SMALL, 900);
        timers.advance(700);
        Offer offer = offer(1, 900, 0, EarlierRuns.NONE);
        first.offer(offer);
        timers.advance(80);
        assertEquals(joined.running(), 1);
        // The second node read the list 0.8 s ago and reads it again in 0.1 s.
        secondTakesOver(offer, 80);
        timers.advance(5_000);
        assertEachTaskRanOnceAtATime();
        assertEquals(second.verdicts().size(), 1);
    }

    /** Guards against a task that runs twice because its endpoint could not write to the store and lost its entry. */
    @Test
    public void testOffer_entryLostWhileTaskRuns() {
        register(LISTED, LARGE, 5_000);
        FakeEndpoint dropped = register(UNLISTED, SMALL, 5_000);
        firstClaims();
        timers.advance(800);
        Offer offer = offer(2, 5_000, 0, EarlierRuns.NONE);
        first.offer(offer);
        timers.advance(50);
        assertEquals(dropped.running(), 1);
        store.remove(UNLISTED);
        // The second node reads the list without the entry at 1.1 s; at 3.2 s the list is unchanged for 2.1 s.
        timers.advance(2_330);
        assertEquals(dropped.running(), 1);
        secondTakesOver(offer, 2_380);
        timers.advance(7_000);
        assertEachTaskRanOnceAtATime();
        assertEquals(second.verdicts().size(), 1);
    }

    /** Guards against a task that runs twice because the next holder started after its endpoint lost its entry. */
    @Test
    public void testOffer_nextHolderStartedAfterEntryLost() {
        register(LISTED, LARGE, 6_000);
        FakeEndpoint dropped = register(UNLISTED, SMALL, 6_000);
        firstClaims();
        timers.advance(800);
        Offer offer = offer(2, 2_000, 0, EarlierRuns.NONE);
        first.offer(offer);
        timers.advance(50);
        assertEquals(dropped.running(), 1);
        store.remove(UNLISTED);
        timers.advance(1_000);
        second = new ListReadingNode("b", store, orders, timers);
        second.readListAfter(0);
        timers.advance(10);
        second.recordStatus(first.status());
        timers.advance(2_900);
        assertEquals(dropped.running(), 1);
        secondTakesOver(offer, 3_960);
        timers.advance(7_000);
        assertEachTaskRanOnceAtATime();
    }
}
