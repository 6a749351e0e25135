package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.Test;

/** What one node knows of the room of other failure domains, by their holders' statuses. */
public final class NeighbourCapacityTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final FailureDomain DARWIN = FailureDomain.of("darwin");
    private static final NodeId HOLDER = NodeId.of("b");

    private final VirtualTimers timers = new VirtualTimers();
    private final PeerTable peers = new PeerTable();
    private final Set<FailureDomain> drained = new HashSet<>();
    private final NeighbourCapacity room = new NeighbourCapacity(
            HOBART,
            peers,
            new ShardPools(
                    ImmutableMap.of(
                            HOBART, Region.of("south"), LAUNCESTON, Region.of("south"), DARWIN, Region.of("north")),
                    new EndpointList()),
            timers,
            drained::contains);

    private void status(boolean leaving, long freeMilliCores, FailureDomain... held) {
        ImmutableList<HeldShard> shards = ImmutableSet.copyOf(held).stream()
                .map(domain -> new HeldShard(domain, FencingToken.of(1, "10.0.0.2"), freeMilliCores))
                .collect(ImmutableList.toImmutableList());
        NodeStatus status = new NodeStatus(
                HOLDER, held[0], new Address("10.0.0.2", 7_000), 360, leaving, false, 1, DrainedDomains.UNREAD, shards);
        peers.received(status, timers.nowMillis());
    }

    private int found(long milliCores) {
        return room.holdersWithCapacity(milliCores).size();
    }

    /** Guards against offers by a status that says nothing of the room there is now, as after a cut. */
    @Test
    public void testHoldersWithCapacity_statusOverTwoPeriodsOld() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.timers.pass(400);
        assertEquals(test.found(100), 1);
        assertEquals(test.found(101), 0);
        test.timers.pass(1);
        assertEquals(test.found(100), 0);
    }

    /** Guards against a herd: what was offered is counted as taken until the holder says what is left. */
    @Test
    public void testRecordOffer_deductedUntilNextStatus() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.room.recordOffer(HOLDER, 30);
        test.room.recordOffer(HOLDER, 30);
        assertEquals(test.found(41), 0);
        assertEquals(test.found(40), 1);
        test.timers.pass(200);
        test.status(false, 100, LAUNCESTON);
        assertEquals(test.found(100), 1);
    }

    /** Guards against job after job that goes to a holder whose free room is too scattered, or kept for its own. */
    @Test
    public void testRecordRefusal_noLargerJobUntilNextStatus() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.room.recordRefusal(HOLDER, 30);
        assertEquals(test.found(30), 0);
        assertEquals(test.found(29), 1);
        test.timers.pass(200);
        test.status(false, 100, LAUNCESTON);
        assertEquals(test.found(30), 1);
    }

    /** Guards against work for a holder that is about to stop. */
    @Test
    public void testHoldersWithCapacity_leavingHolder() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(true, 100, LAUNCESTON);
        assertEquals(test.found(1), 0);
    }

    /** Guards against work for a drained domain. */
    @Test
    public void testHoldersWithCapacity_drainedDomain() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.drained.add(LAUNCESTON);
        assertEquals(test.found(1), 0);
    }

    /** Guards against work for a region that is far away. */
    @Test
    public void testHoldersWithCapacity_otherRegion() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, DARWIN);
        assertEquals(test.found(1), 0);
    }

    /** Guards against rounds where one holder has the own failure domain and others. */
    @Test
    public void testHoldersWithCapacity_holderAlsoHoldsOwnDomain() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON, HOBART);
        assertEquals(test.found(1), 0);
    }
}
