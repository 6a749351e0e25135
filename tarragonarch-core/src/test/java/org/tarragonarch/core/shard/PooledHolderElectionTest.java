package org.tarragonarch.core.shard;

import static org.tarragonarch.core.shard.ElectionFixture.HOBART;
import static org.tarragonarch.core.shard.ElectionFixture.LAUNCESTON;
import static org.tarragonarch.core.shard.ElectionFixture.heldShard;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link HolderElection} where a region is one pool. */
public final class PooledHolderElectionTest {
    private static final Region SOUTH = Region.of("south");
    private static final ShardPools POOLS =
            new ShardPools(ImmutableMap.of(HOBART, SOUTH, LAUNCESTON, SOUTH), new EndpointList());
    private static final int MILLI_CORES = 750;

    private PeerTable peers;

    @BeforeMethod
    public void create() {
        peers = new PeerTable();
    }

    private HolderElection election(String node, FailureDomain domain) {
        return new HolderElection(NodeId.of(node), domain, "10.0.0.5", MILLI_CORES, peers, POOLS);
    }

    private void received(String node, FailureDomain domain, int milliCores, long nowMillis, HeldShard... held) {
        peers.recordStatus(ElectionFixture.status(node, domain, milliCores, false, held), nowMillis);
    }

    /** Guards against a successor that does not claim all shards of the pool with reachable nodes at once. */
    @Test
    public void testShouldClaim_wholePool() {
        received("l", LAUNCESTON, MILLI_CORES, 0);
        HolderElection first = election("a", HOBART);
        assertTrue(first.shouldClaim(HOBART, 0));
        first.claim(HOBART, 0);
        assertTrue(first.shouldClaim(LAUNCESTON, 0));
        received("a", HOBART, MILLI_CORES, 0, heldShard(HOBART, 1));
        assertFalse(election("l", LAUNCESTON).shouldClaim(LAUNCESTON, 0));
    }

    /** Guards against a partitioned node that claims the pool as soon as it has lost only the holder. */
    @Test
    public void testShouldClaim_holderLossUnconfirmed() {
        received("l", LAUNCESTON, MILLI_CORES, 900, heldShard(HOBART, 1), heldShard(LAUNCESTON, 1));
        received("b", HOBART, MILLI_CORES, 1_000);
        HolderElection partitioned = election("a", HOBART);
        peers.expire(1_800);
        assertFalse(partitioned.shouldClaim(HOBART, 1_800));
        received("b", HOBART, MILLI_CORES, 1_850);
        assertTrue(partitioned.shouldClaim(HOBART, 1_850));
    }

    /** Guards against a shard without a holder because the only peer that could confirm its loss failed too. */
    @Test
    public void testShouldClaim_confirmingPeersLost() {
        received("l", LAUNCESTON, MILLI_CORES, 900, heldShard(HOBART, 1), heldShard(LAUNCESTON, 1));
        received("b", HOBART, MILLI_CORES, 1_000);
        HolderElection left = election("a", HOBART);
        peers.expire(1_800);
        peers.recordConnectionLost(NodeId.of("b"));
        assertTrue(left.shouldClaim(HOBART, 1_900));
    }

    /** Guards against a node that claims the shard of a silent domain, which may be partitioned, at once. */
    @Test
    public void testShouldClaim_silentDomain() {
        HolderElection alone = election("a", HOBART);
        assertTrue(alone.shouldClaim(HOBART, 0));
        assertFalse(alone.shouldClaim(LAUNCESTON, 0));
        assertTrue(alone.shouldClaim(LAUNCESTON, 3_000));
    }

    /** Guards against a pool split between a node that is first by name and the peer that holds most of it. */
    @Test
    public void testShouldClaim_peerHoldsMostOfPool() {
        received("z", LAUNCESTON, MILLI_CORES, 0, heldShard(LAUNCESTON, 4));
        assertFalse(election("a", HOBART).shouldClaim(HOBART, 0));
    }

    /** Guards against a holder that keeps a domain's shard after a partition and stops the tasks running there. */
    @Test
    public void testShouldResign_partitionedDomainHasOwnHolder() {
        HolderElection outside = election("a", HOBART);
        outside.claim(HOBART, 0);
        outside.claim(LAUNCESTON, 9_000);
        received("l", LAUNCESTON, MILLI_CORES, 0, heldShard(LAUNCESTON, 2));
        assertTrue(outside.shouldResign(LAUNCESTON, 0));
        assertFalse(outside.shouldResign(HOBART, 0));
    }

    /**
     * Guards against a domain that keeps a holder of its own after a partition instead of sharing the pool's capacity.
     */
    @Test
    public void testShouldResign_partitionedDomainRejoinsPool() {
        HolderElection inside = election("l", LAUNCESTON);
        inside.claim(LAUNCESTON, 0);
        received("a", HOBART, MILLI_CORES, 10_000, heldShard(HOBART, 7));
        assertFalse(inside.shouldResign(LAUNCESTON, 11_900));
        assertTrue(inside.shouldResign(LAUNCESTON, 12_000));
    }

    /** Guards against two nodes with as many shards that both resign and leave the pool without a holder. */
    @Test
    public void testShouldResign_equalShardCounts() {
        HolderElection first = election("a", HOBART);
        first.claim(HOBART, 0);
        received("l", LAUNCESTON, MILLI_CORES, 0, heldShard(LAUNCESTON, 7));
        assertFalse(first.shouldResign(HOBART, 5_000));
    }

    @Test
    public void testShouldResign_muchStrongerPeer() {
        HolderElection weak = election("a", HOBART);
        weak.claim(HOBART, 0);
        weak.claim(LAUNCESTON, 0);
        received("l", LAUNCESTON, 2 * MILLI_CORES, 0);
        assertTrue(weak.shouldResign(HOBART, 2_000));
        HolderElection strong =
                new HolderElection(NodeId.of("l"), LAUNCESTON, "10.0.0.6", 2 * MILLI_CORES, new PeerTable(), POOLS);
        strong.claim(LAUNCESTON, 0);
        assertFalse(strong.shouldResign(LAUNCESTON, 2_000));
    }

    @Test
    public void testHolders_shardClaimedTwice() {
        received("a", HOBART, MILLI_CORES, 0, heldShard(HOBART, 7), heldShard(LAUNCESTON, 9));
        received("l", LAUNCESTON, MILLI_CORES, 0, heldShard(LAUNCESTON, 2));
        assertEquals(
                peers.holders().stream()
                        .map(status -> status.node() + " " + status.shards().size())
                        .toList(),
                ImmutableList.of("a 1", "l 1"));
    }

    /** Guards against ignoring the claim of a node that has since released the shard but whose runs may remain. */
    @Test
    public void testIsHighestToken_afterRelease() {
        received("a", HOBART, MILLI_CORES, 0, heldShard(HOBART, 7));
        received("a", HOBART, MILLI_CORES, 100);
        assertFalse(peers.isHighestToken(HOBART, FencingToken.of(6, "10.0.0.9")));
        assertTrue(peers.isHighestToken(HOBART, FencingToken.of(7, "10.0.0.9")));
        assertTrue(peers.isHighestToken(LAUNCESTON, FencingToken.of(1, "10.0.0.9")));
    }
}
