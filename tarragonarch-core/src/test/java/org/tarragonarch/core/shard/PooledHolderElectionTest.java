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

/** Who holds the shards of a region that is one pool, when nodes die and domains are cut off. */
public final class PooledHolderElectionTest {
    private static final Region SOUTH = Region.of("south");
    private static final ShardPools POOLS =
            new ShardPools(ImmutableMap.of(HOBART, SOUTH, LAUNCESTON, SOUTH), new EndpointList());
    private static final int CORES = 750;

    private PeerTable peers;

    @BeforeMethod
    public void create() {
        peers = new PeerTable();
    }

    private HolderElection election(String node, FailureDomain domain) {
        return new HolderElection(NodeId.of(node), domain, "10.0.0.5", CORES, peers, POOLS);
    }

    private void received(String node, FailureDomain domain, int milliCores, long nowMillis, HeldShard... held) {
        peers.recordStatus(ElectionFixture.status(node, domain, milliCores, false, held), nowMillis);
    }

    /** The holder of everything dies: the next in line takes every shard whose domain it hears, at once. */
    @Test
    public void testShouldClaim_wholePool() {
        received("l", LAUNCESTON, CORES, 0);
        HolderElection first = election("a", HOBART);
        assertTrue(first.shouldClaim(HOBART, 0));
        first.claim(HOBART, 0);
        assertTrue(first.shouldClaim(LAUNCESTON, 0));
        received("a", HOBART, CORES, 0, heldShard(HOBART, 1));
        assertFalse(election("l", LAUNCESTON).shouldClaim(LAUNCESTON, 0));
    }

    /** Guards against a cut-off node that takes the pool as soon as it misses only the holder. */
    @Test
    public void testShouldClaim_holderLossUnconfirmed() {
        received("l", LAUNCESTON, CORES, 900, heldShard(HOBART, 1), heldShard(LAUNCESTON, 1));
        received("b", HOBART, CORES, 1_000);
        HolderElection partitioned = election("a", HOBART);
        peers.expire(1_800);
        assertFalse(partitioned.shouldClaim(HOBART, 1_800));
        received("b", HOBART, CORES, 1_850);
        assertTrue(partitioned.shouldClaim(HOBART, 1_850));
    }

    /** Guards against a shard without a holder because the only other peer died with the holder. */
    @Test
    public void testShouldClaim_confirmingPeersLost() {
        received("l", LAUNCESTON, CORES, 900, heldShard(HOBART, 1), heldShard(LAUNCESTON, 1));
        received("b", HOBART, CORES, 1_000);
        HolderElection left = election("a", HOBART);
        peers.expire(1_800);
        peers.recordConnectionLost(NodeId.of("b"));
        assertTrue(left.shouldClaim(HOBART, 1_900));
    }

    /** A domain nobody hears may be cut off and going on by itself; its endpoints are not taken from it at once. */
    @Test
    public void testShouldClaim_silentDomain() {
        HolderElection alone = election("a", HOBART);
        assertTrue(alone.shouldClaim(HOBART, 0));
        assertFalse(alone.shouldClaim(LAUNCESTON, 0));
        assertTrue(alone.shouldClaim(LAUNCESTON, 3_000));
    }

    /** Whoever holds most of a pool gets the rest of it, also if another would be first by name. */
    @Test
    public void testShouldClaim_peerHoldsMostOfPool() {
        received("z", LAUNCESTON, CORES, 0, heldShard(LAUNCESTON, 4));
        assertFalse(election("a", HOBART).shouldClaim(HOBART, 0));
    }

    /** Guards against an outside holder that keeps a domain's shard after the cut and stops what runs there. */
    @Test
    public void testShouldResign_partitionedDomainHasOwnHolder() {
        HolderElection outside = election("a", HOBART);
        outside.claim(HOBART, 0);
        outside.claim(LAUNCESTON, 9_000);
        received("l", LAUNCESTON, CORES, 0, heldShard(LAUNCESTON, 2));
        assertTrue(outside.shouldResign(LAUNCESTON, 0));
        assertFalse(outside.shouldResign(HOBART, 0));
    }

    /** Two seconds later the domain's shard goes back into the pool, where jobs of all domains share the room. */
    @Test
    public void testShouldResign_partitionedDomainRejoinsPool() {
        HolderElection inside = election("l", LAUNCESTON);
        inside.claim(LAUNCESTON, 0);
        received("a", HOBART, CORES, 10_000, heldShard(HOBART, 7));
        assertFalse(inside.shouldResign(LAUNCESTON, 11_900));
        assertTrue(inside.shouldResign(LAUNCESTON, 12_000));
    }

    /** Of two that hold as much, the first by name keeps it; both letting go would leave the pool without a holder. */
    @Test
    public void testShouldResign_equalShardCounts() {
        HolderElection first = election("a", HOBART);
        first.claim(HOBART, 0);
        received("l", LAUNCESTON, CORES, 0, heldShard(LAUNCESTON, 7));
        assertFalse(first.shouldResign(HOBART, 5_000));
    }

    @Test
    public void testShouldResign_muchStrongerPeer() {
        HolderElection weak = election("a", HOBART);
        weak.claim(HOBART, 0);
        weak.claim(LAUNCESTON, 0);
        received("l", LAUNCESTON, 2 * CORES, 0);
        assertTrue(weak.shouldResign(HOBART, 2_000));
        HolderElection strong =
                new HolderElection(NodeId.of("l"), LAUNCESTON, "10.0.0.6", 2 * CORES, new PeerTable(), POOLS);
        strong.claim(LAUNCESTON, 0);
        assertFalse(strong.shouldResign(LAUNCESTON, 2_000));
    }

    @Test
    public void testHolders_shardClaimedTwice() {
        received("a", HOBART, CORES, 0, heldShard(HOBART, 7), heldShard(LAUNCESTON, 9));
        received("l", LAUNCESTON, CORES, 0, heldShard(LAUNCESTON, 2));
        assertEquals(
                peers.holders().stream()
                        .map(status -> status.node() + " " + status.shards().size())
                        .toList(),
                ImmutableList.of("a 1", "l 1"));
    }

    /** What a node once claimed counts also when it has let go, for its runs may be there still. */
    @Test
    public void testIsHighestToken_afterRelease() {
        received("a", HOBART, CORES, 0, heldShard(HOBART, 7));
        received("a", HOBART, CORES, 100);
        assertFalse(peers.isHighestToken(HOBART, FencingToken.of(6, "10.0.0.9")));
        assertTrue(peers.isHighestToken(HOBART, FencingToken.of(7, "10.0.0.9")));
        assertTrue(peers.isHighestToken(LAUNCESTON, FencingToken.of(1, "10.0.0.9")));
    }
}
