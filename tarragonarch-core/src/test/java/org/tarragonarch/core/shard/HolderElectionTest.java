package org.tarragonarch.core.shard;

import static org.tarragonarch.core.shard.ElectionFixture.HOBART;
import static org.tarragonarch.core.shard.ElectionFixture.LAUNCESTON;
import static org.tarragonarch.core.shard.ElectionFixture.heldShard;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.Test;

/** Tests for {@link HolderElection} where each domain is a pool of its own. */
public final class HolderElectionTest {
    /** Two regions, so that each domain is a pool of its own. */
    private static final ShardPools SEPARATE_POOLS = new ShardPools(
            ImmutableMap.of(HOBART, Region.of("south"), LAUNCESTON, Region.of("north")), new EndpointList());

    private static final int MILLI_CORES = 360;
    private static final int STRONG = 1_500;

    private static HolderElection election(String node, FailureDomain domain, PeerTable peers) {
        return new HolderElection(NodeId.of(node), domain, "10.0.0.5", MILLI_CORES, peers, SEPARATE_POOLS);
    }

    private static NodeStatus status(String node, FailureDomain domain, boolean leaving, HeldShard... held) {
        return ElectionFixture.status(node, domain, MILLI_CORES, leaving, held);
    }

    private static NodeStatus strong(String node, FailureDomain domain, boolean leaving) {
        return ElectionFixture.status(node, domain, STRONG, leaving);
    }

    @Test
    public void testShouldClaim_firstOfItsDomain() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("b", HOBART, false), 0);
        assertTrue(election("a", HOBART, peers).shouldClaim(HOBART, 0));
        assertFalse(election("c", HOBART, peers).shouldClaim(HOBART, 0));
    }

    @Test
    public void testShouldClaim_leavingPeer() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("b", HOBART, true), 0);
        assertTrue(election("c", HOBART, peers).shouldClaim(HOBART, 0));
    }

    /** Guards against a node that claims the shard of a partitioned domain, which still has its own holder, at once. */
    @Test
    public void testShouldClaim_otherDomain() {
        PeerTable peers = new PeerTable();
        HolderElection outside = election("a", HOBART, peers);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        assertFalse(outside.shouldClaim(LAUNCESTON, 2_900));
        assertTrue(outside.shouldClaim(LAUNCESTON, 3_000));
    }

    @Test
    public void testShouldClaim_holderLost() {
        PeerTable peers = new PeerTable();
        HolderElection next = election("b", HOBART, peers);
        peers.recordStatus(status("a", HOBART, false, heldShard(HOBART, 7)), 0);
        assertFalse(next.shouldClaim(HOBART, 100));
        peers.recordConnectionLost(NodeId.of("a"));
        assertTrue(next.shouldClaim(HOBART, 200));
        assertEquals(next.claim(HOBART, 0).term(), 8);
    }

    @Test
    public void testExpire_silentPeer() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("a", HOBART, false, heldShard(HOBART, 7)), 0);
        assertEquals(peers.expire(PeerTable.SILENCE_MILLIS), ImmutableList.of());
        assertEquals(peers.expire(PeerTable.SILENCE_MILLIS + 1), ImmutableList.of(NodeId.of("a")));
        assertTrue(peers.holder(HOBART).isEmpty());
    }

    /** Guards against a node that keeps the shard of another domain after that domain's nodes have returned. */
    @Test
    public void testShouldResign_nodeOfShardsDomainReturns() {
        PeerTable peers = new PeerTable();
        HolderElection outside = election("a", HOBART, peers);
        outside.claim(LAUNCESTON, 0);
        assertFalse(outside.shouldResign(LAUNCESTON, 0));
        peers.recordStatus(status("l", LAUNCESTON, false), 0);
        assertTrue(outside.shouldResign(LAUNCESTON, 0));
    }

    /** Guards against two nodes, each unreachable to the other, that fence each other indefinitely. */
    @Test
    public void testRecordFenced_backsOff() {
        PeerTable peers = new PeerTable();
        HolderElection alone = election("a", HOBART, peers);
        alone.claim(HOBART, 0);
        alone.recordFenced(HOBART, 1_000);
        assertFalse(alone.shouldClaim(HOBART, 3_900));
        assertTrue(alone.shouldClaim(HOBART, 4_000));
    }

    /** Guards against a restarted node, which has no state, claiming under a lower token than before its restart. */
    @Test
    public void testClaim_afterRestart() {
        HolderElection before = election("a", HOBART, new PeerTable());
        HolderElection after = election("a", HOBART, new PeerTable());
        FencingToken first = before.claim(HOBART, 1_700_000_000_000L);
        FencingToken second = after.claim(HOBART, 1_700_000_000_500L);
        assertTrue(second.compareTo(first) > 0);
    }

    /** Guards against a domain's own holder that yields to the higher token of another domain after a partition. */
    @Test
    public void testShouldResign_higherTokenOfOtherDomain() {
        PeerTable peers = new PeerTable();
        HolderElection home = election("l", LAUNCESTON, peers);
        home.claim(LAUNCESTON, 0);
        peers.recordStatus(status("a", HOBART, false, heldShard(LAUNCESTON, 99)), 0);
        assertFalse(home.shouldResign(LAUNCESTON, 0));
    }

    @Test
    public void testShouldResign_higherTokenOfOwnDomain() {
        PeerTable peers = new PeerTable();
        HolderElection home = election("l", LAUNCESTON, peers);
        home.claim(LAUNCESTON, 0);
        peers.recordStatus(status("m", LAUNCESTON, false, heldShard(LAUNCESTON, 99)), 0);
        assertTrue(home.shouldResign(LAUNCESTON, 0));
    }

    @Test
    public void testHolder_ownDomainBeforeHigherToken() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("l", LAUNCESTON, false, heldShard(LAUNCESTON, 3)), 0);
        peers.recordStatus(status("a", HOBART, false, heldShard(LAUNCESTON, 99)), 0);
        assertEquals(peers.holder(LAUNCESTON).orElseThrow().node(), NodeId.of("l"));
    }

    @Test
    public void testResignUnreachable_backsOff() {
        PeerTable peers = new PeerTable();
        HolderElection outside = election("a", HOBART, peers);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        outside.claim(LAUNCESTON, 0);
        outside.resignUnreachable(LAUNCESTON, 4_000);
        assertFalse(outside.shouldClaim(LAUNCESTON, 6_900));
        assertTrue(outside.shouldClaim(LAUNCESTON, 7_000));
    }

    /** Guards against a shard held by a small VM, first by name, while large VMs are idle. */
    @Test
    public void testShouldClaim_strongestOfItsDomain() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(strong("z", HOBART, false), 0);
        assertFalse(election("a", HOBART, peers).shouldClaim(HOBART, 0));
        HolderElection strongest =
                new HolderElection(NodeId.of("z"), HOBART, "10.0.0.6", STRONG, new PeerTable(), SEPARATE_POOLS);
        assertTrue(strongest.shouldClaim(HOBART, 0));
    }

    /** Guards against a small VM that keeps a shard which it claimed while the large VMs were restarting. */
    @Test
    public void testShouldResign_muchStrongerNodeReturns() {
        PeerTable peers = new PeerTable();
        HolderElection small = election("a", HOBART, peers);
        small.claim(HOBART, 0);
        peers.recordStatus(strong("z", HOBART, false), 1_000);
        peers.recordStatus(strong("z", HOBART, false), 2_900);
        assertFalse(small.shouldResign(HOBART, 2_900));
        assertTrue(small.shouldResign(HOBART, 3_000));
    }

    @Test
    public void testShouldResign_strongerNodeLeavingOrInOtherDomain() {
        PeerTable peers = new PeerTable();
        HolderElection small = election("a", HOBART, peers);
        small.claim(HOBART, 0);
        peers.recordStatus(strong("y", LAUNCESTON, false), 0);
        peers.recordStatus(strong("z", HOBART, true), 0);
        assertFalse(small.shouldResign(HOBART, 5_000));
    }

    /** Guards against two nodes that fence each other twenty times a second. */
    @Test
    public void testRecordFenced_twoHoldersUnreachableToEachOther() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("z", HOBART, false), 0);
        HolderElection one = election("a", HOBART, peers);
        one.claim(HOBART, 0);
        one.recordFenced(HOBART, 1_000);
        assertTrue(one.shouldClaim(HOBART, 1_000));
        one.claim(HOBART, 0);
        one.recordFenced(HOBART, 1_050);
        assertFalse(one.shouldClaim(HOBART, 1_100));
        assertTrue(one.shouldClaim(HOBART, 4_050));
    }

    /** Guards against a partitioned node that claims every shard, so that most callers are refused. */
    @Test
    public void testShouldClaim_allPeersSilentAtOnce() {
        PeerTable peers = new PeerTable();
        HolderElection cutOff = election("a", HOBART, peers);
        peers.recordStatus(status("h", HOBART, false, heldShard(HOBART, 7)), 1_000);
        peers.recordStatus(status("l", LAUNCESTON, false, heldShard(LAUNCESTON, 7)), 1_000);
        peers.recordStatus(status("m", LAUNCESTON, false), 0);
        assertFalse(cutOff.shouldClaim(HOBART, 1_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 1_000));
        peers.expire(8_000);
        assertTrue(peers.isPartitioned());
        assertFalse(cutOff.shouldClaim(HOBART, 8_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 8_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 14_400));
        assertTrue(cutOff.shouldClaim(HOBART, 14_500));
        assertTrue(cutOff.shouldClaim(LAUNCESTON, 14_500));
    }

    /** Guards against shards without a holder for long after all processes but one were killed at once. */
    @Test
    public void testShouldClaim_allPeersKilledAtOnce() {
        PeerTable peers = new PeerTable();
        HolderElection left = election("a", HOBART, peers);
        for (String name : List.of("b", "c", "d", "e")) {
            peers.recordStatus(status(name, HOBART, false), 0);
        }
        peers.recordStatus(status("h", HOBART, false, heldShard(HOBART, 7)), 0);
        for (String name : List.of("b", "c", "d", "e", "h")) {
            peers.recordConnectionLost(NodeId.of(name));
        }
        assertTrue(left.shouldClaim(HOBART, 10));
    }

    /** Guards against a partitioned domain whose only node does not claim its shard, although no other node can. */
    @Test
    public void testShouldClaim_onlyNodeOfPartitionedDomain() {
        PeerTable peers = new PeerTable();
        HolderElection only = election("a", HOBART, peers);
        peers.recordStatus(status("l", LAUNCESTON, false, heldShard(LAUNCESTON, 7), heldShard(HOBART, 7)), 0);
        peers.recordStatus(status("m", LAUNCESTON, false), 0);
        peers.recordStatus(status("n", LAUNCESTON, false), 0);
        peers.expire(7_000);
        assertTrue(only.shouldClaim(HOBART, 7_000));
        assertFalse(only.shouldClaim(LAUNCESTON, 11_000));
    }

    /** Guards against a last node that takes itself for partitioned although its peers were lost one by one. */
    @Test
    public void testShouldClaim_peersLostOneByOne() {
        PeerTable peers = new PeerTable();
        HolderElection last = election("a", HOBART, peers);
        peers.recordStatus(status("h", HOBART, false, heldShard(HOBART, 7)), 20_000);
        peers.recordStatus(status("l", LAUNCESTON, false), 10_000);
        peers.recordStatus(status("m", LAUNCESTON, false), 0);
        peers.expire(30_000);
        assertFalse(peers.isPartitioned());
        assertTrue(last.shouldClaim(HOBART, 30_000));
    }

    /** Guards against several nodes without shards that claim a lost domain's shard, unaware of each other. */
    @Test
    public void testShouldClaim_otherPoolsShardOnlyByHolders() {
        PeerTable peers = new PeerTable();
        HolderElection outside = election("a", HOBART, peers);
        peers.recordStatus(status("h", HOBART, false, heldShard(HOBART, 7)), 0);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        assertFalse(outside.shouldClaim(LAUNCESTON, 3_000));
        PeerTable holdersPeers = new PeerTable();
        HolderElection holder = election("h", HOBART, holdersPeers);
        holder.claim(HOBART, 0);
        holdersPeers.recordStatus(status("a", HOBART, false), 0);
        assertFalse(holder.shouldClaim(LAUNCESTON, 0));
        assertTrue(holder.shouldClaim(LAUNCESTON, 3_000));
    }

    @Test
    public void testIsSuccessor_firstAfterTheHolder() {
        PeerTable peers = new PeerTable();
        peers.recordStatus(status("h", HOBART, false, heldShard(HOBART, 7)), 0);
        peers.recordStatus(status("c", HOBART, false), 0);
        assertTrue(election("b", HOBART, peers).isSuccessor(HOBART));
        assertFalse(election("d", HOBART, peers).isSuccessor(HOBART));
    }
}
