package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.testng.annotations.Test;

/** Conditions under which a node that has just started may claim shards. */
public final class DiscoveryTest {
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");
    private static final NodeId C = NodeId.of("c");

    private static NodeStatus status(NodeId node, boolean missesHolder) {
        Address address = new Address("10.0.0.9", 7_000);
        return new NodeStatus(
                node,
                FailureDomain.of("hobart"),
                address,
                750,
                false,
                missesHolder,
                1,
                DrainedDomains.UNREAD,
                ImmutableList.of());
    }

    private static Member member(NodeId node) {
        return new Member(node, FailureDomain.of("hobart"), new Address("10.0.0.9", 7_000), 750);
    }

    @Test
    public void testIsComplete_everyNodeHeard() {
        ImmutableList<NodeStatus> both = ImmutableList.of(status(A, false), status(C, true));
        assertTrue(Discovery.isComplete(member(B), ImmutableList.of(member(A), member(C)), both));
        assertTrue(Discovery.isComplete(member(B), ImmutableList.of(), ImmutableList.of()));
    }

    /** Guards against callers that wait 200 ms for one slow node although the others report that there is no holder. */
    @Test
    public void testIsComplete_oneNodeIsSlow() {
        ImmutableList<Member> located = ImmutableList.of(member(B), member(C));
        assertTrue(Discovery.isComplete(member(A), located, ImmutableList.of(status(B, true))));
        assertFalse(Discovery.isComplete(member(A), located, ImmutableList.of()));
    }

    /** Guards against a restarted node that claims before it has heard from the holder that its peers can reach. */
    @Test
    public void testIsComplete_peerHasHolder() {
        assertFalse(Discovery.isComplete(
                member(A), ImmutableList.of(member(B), member(C)), ImmutableList.of(status(B, false))));
    }

    @Test
    public void testIsComplete_otherNodeRanksHigherByName() {
        assertFalse(Discovery.isComplete(
                member(B), ImmutableList.of(member(A), member(C)), ImmutableList.of(status(C, true))));
    }

    /** Guards against a small VM, first by name, that claims a shard before the large VM that is to hold it. */
    @Test
    public void testIsComplete_largerNodeRanksHigher() {
        Member strong = new Member(C, FailureDomain.of("hobart"), new Address("10.0.0.9", 7_000), 1_500);
        ImmutableList<NodeStatus> withoutHolder = ImmutableList.of(status(B, true));
        assertFalse(Discovery.isComplete(member(A), ImmutableList.of(member(B), strong), withoutHolder));
        assertTrue(Discovery.isComplete(strong, ImmutableList.of(member(A), member(B)), withoutHolder));
    }

    /** Guards against a small VM that claims a shard before it has read the holder's status. */
    @Test
    public void testClaimDelayMillis_growsWithHigherRankedNodes() {
        Member large = new Member(C, FailureDomain.of("hobart"), new Address("10.0.0.9", 7_000), 1_500);
        ImmutableList<Member> both = ImmutableList.of(member(A), large);
        assertEquals(Discovery.claimDelayMillis(large, ImmutableList.of(member(A), member(B))), 200);
        assertEquals(Discovery.claimDelayMillis(member(B), both), 600);
    }

    /** Guards against a restart after which nobody is served for 200 ms for each machine that was ever replaced. */
    @Test
    public void testClaimDelayMillis_manyNodesAreGoneForGood() {
        ImmutableList<Member> gone = IntStream.range(0, 1_000)
                .mapToObj(number -> member(NodeId.of("a-" + number)))
                .collect(ImmutableList.toImmutableList());
        assertEquals(Discovery.claimDelayMillis(member(B), gone), 2_000);
    }
}
