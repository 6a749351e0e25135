package org.tarragonarch.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.shard.Heartbeats.Audience;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who speaks to whom how often, and when silence means that a peer is gone. */
public final class HeartbeatsTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final ImmutableSet<FailureDomain> SHARDS = ImmutableSet.of(HOBART);

    /** Two regions, so that each domain is a pool of its own. */
    private static final ShardPools POOLS = new ShardPools(
            ImmutableMap.of(HOBART, Region.of("south"), LAUNCESTON, Region.of("north")), new EndpointList());

    private static final NodeId HOLDER = NodeId.of("holder");
    private static final NodeId OTHER_HOLDER = NodeId.of("other-holder");
    private static final NodeId SUCCESSOR = NodeId.of("a");

    private PeerTable peers;
    private Heartbeats heartbeats;

    @BeforeMethod
    public void create() {
        peers = new PeerTable();
        heartbeats = new Heartbeats(peers, POOLS, HOBART);
    }

    private static NodeStatus status(NodeId node, boolean withoutHolder, HeldShard... held) {
        Address address = new Address("10.0.0.9", 7_000);
        return new NodeStatus(
                node, HOBART, address, 750, false, withoutHolder, 1, DrainedDomains.UNREAD, ImmutableList.copyOf(held));
    }

    private static NodeStatus holder() {
        return status(HOLDER, false, new HeldShard(HOBART, FencingToken.of(7, "10.0.0.9"), 0));
    }

    @Test
    public void testTakeDueAudience_nodeWithoutShards() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(status(SUCCESSOR, false), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        assertEquals(heartbeats.takeDueAudience(0), Audience.NEIGHBOURS);
        assertEquals(heartbeats.takeDueAudience(100), Audience.NOBODY);
        assertEquals(heartbeats.takeDueAudience(200), Audience.FREQUENT);
        assertEquals(heartbeats.frequentRecipients(), ImmutableList.of(HOLDER));
        assertEquals(heartbeats.takeDueAudience(2_000), Audience.NEIGHBOURS);
    }

    @Test
    public void testTakeDueAudience_holder() {
        heartbeats.review(SHARDS, 0);
        assertEquals(heartbeats.takeDueAudience(0), Audience.ALL);
        assertEquals(heartbeats.takeDueAudience(200), Audience.ALL);
    }

    @Test
    public void testFrequentRecipients_peerWithoutHolder() {
        peers.recordStatus(status(SUCCESSOR, true), 0);
        assertEquals(heartbeats.frequentRecipients(), ImmutableList.of(SUCCESSOR));
    }

    @Test
    public void testExpire_peerWithoutShards() {
        peers.recordStatus(status(SUCCESSOR, false), 0);
        assertEquals(peers.expire(PeerTable.DISTANT_SILENCE_MILLIS), ImmutableList.of());
        assertEquals(peers.expire(PeerTable.DISTANT_SILENCE_MILLIS + 1), ImmutableList.of(SUCCESSOR));
    }

    /** Guards against a domain unserved for six seconds since the successor was lost with the holder. */
    @Test
    public void testExpire_holderAndSuccessorLost() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(status(SUCCESSOR, false), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        assertFalse(heartbeats.isWithoutHolder());
        assertEquals(peers.expire(701), ImmutableList.of(HOLDER));
        assertTrue(heartbeats.review(ImmutableSet.of(), 701), "has to be told at once");
        assertEquals(peers.expire(1_401), ImmutableList.of());
        assertEquals(peers.expire(1_402), ImmutableList.of(SUCCESSOR));
    }

    /** A node that has just become the holder has heard most peers a second ago; they are not gone for that. */
    @Test
    public void testExpire_newHolder() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(status(SUCCESSOR, false), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        peers.recordConnectionLost(HOLDER);
        heartbeats.review(SHARDS, 1_900);
        assertEquals(peers.expire(2_000), ImmutableList.of());
    }

    /** Guards against connections to all nodes that fill the first second of each after a loss of power. */
    @Test
    public void testTakeDueAudience_nodeWithoutHolder() {
        peers.recordStatus(status(SUCCESSOR, true), 0);
        peers.recordStatus(holderOf(LAUNCESTON), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        assertTrue(heartbeats.isWithoutHolder());
        assertEquals(heartbeats.takeDueAudience(0), Audience.NEIGHBOURS);
        assertEquals(heartbeats.takeDueAudience(200), Audience.NEIGHBOURS);
        assertEquals(heartbeats.neighbours(), ImmutableSet.of(HOBART));
        assertEquals(heartbeats.frequentRecipientsOutside(heartbeats.neighbours()), ImmutableList.of(OTHER_HOLDER));
    }

    /** Another pool without a holder is no matter of this node: its next holder tells everybody. */
    @Test
    public void testReview_otherPoolWithoutHolder() {
        peers.recordStatus(holder(), 0);
        assertFalse(heartbeats.review(ImmutableSet.of(), 0));
        assertFalse(heartbeats.isWithoutHolder());
    }

    /** A node of another pool has let go of its shard, and has no reason to speak to this one any more. */
    @Test
    public void testExpire_peerThatOwesNoStatus() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(holderOf(LAUNCESTON), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        peers.recordStatus(statusIn(LAUNCESTON), 100);
        peers.recordStatus(holder(), 6_000);
        assertEquals(peers.expire(6_601), ImmutableList.of());
        assertEquals(peers.reachable().size(), 1);
    }

    private static NodeStatus holderOf(FailureDomain domain) {
        HeldShard held = new HeldShard(domain, FencingToken.of(7, "10.0.0.8"), 0);
        return statusIn(domain, held);
    }

    private static NodeStatus statusIn(FailureDomain domain, HeldShard... held) {
        Address address = new Address("10.0.0.8", 7_000);
        return new NodeStatus(
                OTHER_HOLDER, domain, address, 750, false, false, 1, DrainedDomains.UNREAD, ImmutableList.copyOf(held));
    }
}
