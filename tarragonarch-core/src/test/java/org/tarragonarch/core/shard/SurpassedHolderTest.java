package org.tarragonarch.core.shard;

import static org.tarragonarch.core.shard.ElectionFixture.HOBART;
import static org.tarragonarch.core.shard.ElectionFixture.LAUNCESTON;
import static org.tarragonarch.core.shard.ElectionFixture.heldShard;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link HolderElection} of a holder whose shard was also claimed under a higher token. */
public final class SurpassedHolderTest {
    private static final int MILLI_CORES = 360;

    private PeerTable peers;
    private HolderElection holder;

    @BeforeMethod
    public void claim() {
        ShardPools pools = new ShardPools(
                ImmutableMap.of(HOBART, Region.of("south"), LAUNCESTON, Region.of("north")), new EndpointList());
        peers = new PeerTable();
        holder = new HolderElection(NodeId.of("h"), HOBART, "10.0.0.5", MILLI_CORES, peers, pools);
        holder.claim(HOBART, 0);
    }

    private void received(String node, FailureDomain domain, long nowMillis, HeldShard... held) {
        peers.recordStatus(ElectionFixture.status(node, domain, MILLI_CORES, false, held), nowMillis);
    }

    @Test
    public void testIsSurpassed_highestToken() {
        received("l", LAUNCESTON, 0, heldShard(LAUNCESTON, 99));
        assertFalse(holder.isSurpassed(HOBART, 0));
        assertFalse(holder.isSurpassed(LAUNCESTON, 0));
    }

    /** Guards against two nodes that claim a shard from each other in turn while both hold it. */
    @Test
    public void testIsSurpassed_otherNodeStillHolds() {
        received("l", LAUNCESTON, 0, heldShard(HOBART, 99));
        assertFalse(holder.isSurpassed(HOBART, 0));
        received("l", LAUNCESTON, 10);
        assertTrue(holder.isSurpassed(HOBART, 10));
    }

    /** Guards against a second claim anew after the same surpassing claim. */
    @Test
    public void testIsSurpassed_claimedAnew() {
        received("l", LAUNCESTON, 0, heldShard(HOBART, 99));
        received("l", LAUNCESTON, 10);
        FencingToken token = holder.claim(HOBART, 0);
        peers.recordClaim(HOBART, token);
        assertTrue(token.term() > 99);
        assertFalse(holder.isSurpassed(HOBART, 10));
    }

    /** Guards against a node that has lost a holder and takes the endpoints from it while it still serves others. */
    @Test
    public void testIsSurpassed_otherHolderLost() {
        received("l", LAUNCESTON, 0, heldShard(HOBART, 99));
        peers.recordConnectionLost(NodeId.of("l"));
        assertFalse(holder.isSurpassed(HOBART, 6_500));
        assertTrue(holder.isSurpassed(HOBART, 6_501));
    }

    /** Guards against a successor whose clock is behind that of a killed holder, which has restarted without shards. */
    @Test
    public void testClaim_killedHolderHasRestarted() {
        received("l", LAUNCESTON, 0, heldShard(LAUNCESTON, 99));
        received("l", LAUNCESTON, 2_000);
        assertTrue(holder.claim(LAUNCESTON, 0).term() > 99);
    }
}
