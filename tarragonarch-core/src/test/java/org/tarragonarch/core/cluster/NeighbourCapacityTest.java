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

/** Estimates of the free capacity of other failure domains from the statuses of their holders. */
public final class NeighbourCapacityTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final FailureDomain DARWIN = FailureDomain.of("darwin");
    private static final NodeId HOLDER = NodeId.of("b");

    private final VirtualTimers timers = new VirtualTimers();
    private final PeerTable peers = new PeerTable();
    private final Set<FailureDomain> drained = new HashSet<>();
    private final NeighbourCapacity capacity = new NeighbourCapacity(
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
        peers.recordStatus(status, timers.nowMillis());
    }

    private int holderCount(long milliCores) {
        return capacity.holdersWithCapacity(milliCores).size();
    }

    /** Guards against offers based on an outdated status, as after a network partition. */
    @Test
    public void testHoldersWithCapacity_statusOverTwoPeriodsOld() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.timers.advance(400);
        assertEquals(test.holderCount(100), 1);
        assertEquals(test.holderCount(101), 0);
        test.timers.advance(1);
        assertEquals(test.holderCount(100), 0);
    }

    /** Guards against a thundering herd: offered capacity counts as used until the holder's next status. */
    @Test
    public void testRecordOffer_deductedUntilNextStatus() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.capacity.recordOffer(HOLDER, 30);
        test.capacity.recordOffer(HOLDER, 30);
        assertEquals(test.holderCount(41), 0);
        assertEquals(test.holderCount(40), 1);
        test.timers.advance(200);
        test.status(false, 100, LAUNCESTON);
        assertEquals(test.holderCount(100), 1);
    }

    /** Guards against repeated offers to a holder whose free capacity is fragmented or reserved for its own jobs. */
    @Test
    public void testRecordRefusal_noLargerJobUntilNextStatus() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.capacity.recordRefusal(HOLDER, 30);
        assertEquals(test.holderCount(30), 0);
        assertEquals(test.holderCount(29), 1);
        test.timers.advance(200);
        test.status(false, 100, LAUNCESTON);
        assertEquals(test.holderCount(30), 1);
    }

    /** Guards against offers to a holder that is about to stop. */
    @Test
    public void testHoldersWithCapacity_leavingHolder() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(true, 100, LAUNCESTON);
        assertEquals(test.holderCount(1), 0);
    }

    /** Guards against offers to the holder of a drained domain. */
    @Test
    public void testHoldersWithCapacity_drainedDomain() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON);
        test.drained.add(LAUNCESTON);
        assertEquals(test.holderCount(1), 0);
    }

    /** Guards against offers to a holder in a distant region. */
    @Test
    public void testHoldersWithCapacity_otherRegion() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, DARWIN);
        assertEquals(test.holderCount(1), 0);
    }

    /** Guards against a holder of the own failure domain that also counts as a neighbour. */
    @Test
    public void testHoldersWithCapacity_holderAlsoHoldsOwnDomain() {
        NeighbourCapacityTest test = new NeighbourCapacityTest();
        test.status(false, 100, LAUNCESTON, HOBART);
        assertEquals(test.holderCount(1), 0);
    }
}
