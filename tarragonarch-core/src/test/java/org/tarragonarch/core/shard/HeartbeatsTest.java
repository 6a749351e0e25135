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

/** Tests for {@link Heartbeats}, and for the detection of silent peers by {@link PeerTable}. */
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

    private static NodeStatus status(NodeId node, boolean missesHolder, HeldShard... held) {
        Address address = new Address("10.0.0.9", 7_000);
        return new NodeStatus(
                node, HOBART, address, 750, false, missesHolder, 1, DrainedDomains.UNREAD, ImmutableList.copyOf(held));
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

    /** Guards against a domain without a holder for six seconds because its successor failed at the same time. */
    @Test
    public void testExpire_holderAndSuccessorLost() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(status(SUCCESSOR, false), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        assertFalse(heartbeats.isMissingHolder());
        assertEquals(peers.expire(701), ImmutableList.of(HOLDER));
        assertTrue(heartbeats.review(ImmutableSet.of(), 701), "peers must receive the status at once");
        assertEquals(peers.expire(1_401), ImmutableList.of());
        assertEquals(peers.expire(1_402), ImmutableList.of(SUCCESSOR));
    }

    /** Guards against a new holder that takes peers for lost because their infrequent statuses are a second old. */
    @Test
    public void testExpire_newHolder() {
        peers.recordStatus(holder(), 0);
        peers.recordStatus(status(SUCCESSOR, false), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        peers.recordConnectionLost(HOLDER);
        heartbeats.review(SHARDS, 1_900);
        assertEquals(peers.expire(2_000), ImmutableList.of());
    }

    /** Guards against nodes that all connect to all others in the first second after a power failure. */
    @Test
    public void testTakeDueAudience_nodeWithoutHolder() {
        peers.recordStatus(status(SUCCESSOR, true), 0);
        peers.recordStatus(holderOf(LAUNCESTON), 0);
        heartbeats.review(ImmutableSet.of(), 0);
        assertTrue(heartbeats.isMissingHolder());
        assertEquals(heartbeats.takeDueAudience(0), Audience.NEIGHBOURS);
        assertEquals(heartbeats.takeDueAudience(200), Audience.NEIGHBOURS);
        assertEquals(heartbeats.neighbourDomains(), ImmutableSet.of(HOBART));
        assertEquals(
                heartbeats.frequentRecipientsOutside(heartbeats.neighbourDomains()), ImmutableList.of(OTHER_HOLDER));
    }

    /** Guards against frequent statuses because another pool has no holder; its next holder informs every node. */
    @Test
    public void testReview_otherPoolWithoutHolder() {
        peers.recordStatus(holder(), 0);
        assertFalse(heartbeats.review(ImmutableSet.of(), 0));
        assertFalse(heartbeats.isMissingHolder());
    }

    /** Guards against reporting a node of another pool as lost that sends no statuses because it released its shard. */
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
