package org.tarragonarch.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.Test;

/** Who holds a shard when nodes come, go and cannot hear each other. */
public final class SuccessionTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");

    /** Two regions, so that each domain is a pool of its own. */
    private static final ShardPools APART = new ShardPools(
            ImmutableMap.of(HOBART, Region.of("south"), LAUNCESTON, Region.of("north")), new EndpointList());

    private static final int CORES = 360;
    private static final int STRONG = 1_500;

    private static Succession succession(String node, FailureDomain domain, PeerBook book) {
        return new Succession(NodeId.of(node), domain, "10.0.0.5", CORES, book, APART);
    }

    private static NodeStatus status(String node, FailureDomain domain, boolean leaving, HeldShard... held) {
        Address address = new Address("10.0.0.9", 7_000);
        return new NodeStatus(NodeId.of(node), domain, address, CORES, leaving, false, 1, ImmutableList.copyOf(held));
    }

    private static NodeStatus strong(String node, FailureDomain domain, boolean leaving) {
        Address address = new Address("10.0.0.9", 7_000);
        return new NodeStatus(NodeId.of(node), domain, address, STRONG, leaving, false, 1, ImmutableList.of());
    }

    private static HeldShard held(FailureDomain shard, long term) {
        return new HeldShard(shard, FencingToken.of(term, "10.0.0.9"), 0);
    }

    @Test
    public void testShouldClaim_firstOfItsDomain() {
        PeerBook book = new PeerBook();
        book.heard(status("b", HOBART, false), 0);
        assertTrue(succession("a", HOBART, book).shouldClaim(HOBART, 0));
        assertFalse(succession("c", HOBART, book).shouldClaim(HOBART, 0));
    }

    @Test
    public void testShouldClaim_leavingNodeIsPassedOver() {
        PeerBook book = new PeerBook();
        book.heard(status("b", HOBART, true), 0);
        assertTrue(succession("c", HOBART, book).shouldClaim(HOBART, 0));
    }

    /** A domain is cut off and goes on by itself; nodes outside must not take its endpoints the moment they miss it. */
    @Test
    public void testShouldClaim_otherDomainWaits() {
        PeerBook book = new PeerBook();
        Succession outside = succession("a", HOBART, book);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        assertFalse(outside.shouldClaim(LAUNCESTON, 2_900));
        assertTrue(outside.shouldClaim(LAUNCESTON, 3_000));
    }

    @Test
    public void testShouldClaim_holderDies() {
        PeerBook book = new PeerBook();
        Succession next = succession("b", HOBART, book);
        book.heard(status("a", HOBART, false, held(HOBART, 7)), 0);
        assertFalse(next.shouldClaim(HOBART, 100));
        book.lost(NodeId.of("a"));
        assertTrue(next.shouldClaim(HOBART, 200));
        assertEquals(next.claim(HOBART, 0).term(), 8);
    }

    @Test
    public void testExpire_silentPeer() {
        PeerBook book = new PeerBook();
        book.heard(status("a", HOBART, false, held(HOBART, 7)), 0);
        assertEquals(book.expire(PeerBook.SILENCE_MILLIS), ImmutableList.of());
        assertEquals(book.expire(PeerBook.SILENCE_MILLIS + 1), ImmutableList.of(NodeId.of("a")));
        assertTrue(book.holder(HOBART).isEmpty());
    }

    /** A node of another domain kept a shard while its own nodes were away; they take it back when they are there. */
    @Test
    public void testShouldResign_homeNodeIsBack() {
        PeerBook book = new PeerBook();
        Succession outside = succession("a", HOBART, book);
        outside.claim(LAUNCESTON, 0);
        assertFalse(outside.shouldResign(LAUNCESTON, 0));
        book.heard(status("l", LAUNCESTON, false), 0);
        assertTrue(outside.shouldResign(LAUNCESTON, 0));
    }

    /** Two nodes that do not hear each other would take the endpoints from one another for ever. */
    @Test
    public void testOutranked_keepsAway() {
        PeerBook book = new PeerBook();
        Succession alone = succession("a", HOBART, book);
        alone.claim(HOBART, 0);
        alone.outranked(HOBART, 1_000);
        assertFalse(alone.shouldClaim(HOBART, 3_900));
        assertTrue(alone.shouldClaim(HOBART, 4_000));
    }

    /** A restarted node remembers nothing; its tokens must still be above those of its earlier life. */
    @Test
    public void testClaim_termFollowsTheTimeOfDay() {
        Succession before = succession("a", HOBART, new PeerBook());
        Succession after = succession("a", HOBART, new PeerBook());
        FencingToken first = before.claim(HOBART, 1_700_000_000_000L);
        FencingToken second = after.claim(HOBART, 1_700_000_000_500L);
        assertTrue(second.compareTo(first) > 0);
    }

    /**
     * A domain was cut off for six seconds and went on by itself, while a node outside claimed its shard in vain. As
     * the cut healed, the domain's own holder gave way to the higher token, and everything that ran there was stopped.
     */
    @Test
    public void testShouldResign_homeHolderKeepsItsShardAfterACut() {
        PeerBook book = new PeerBook();
        Succession home = succession("l", LAUNCESTON, book);
        home.claim(LAUNCESTON, 0);
        book.heard(status("a", HOBART, false, held(LAUNCESTON, 99)), 0);
        assertFalse(home.shouldResign(LAUNCESTON, 0));
    }

    @Test
    public void testShouldResign_homeHolderYieldsToAnotherOfItsDomain() {
        PeerBook book = new PeerBook();
        Succession home = succession("l", LAUNCESTON, book);
        home.claim(LAUNCESTON, 0);
        book.heard(status("m", LAUNCESTON, false, held(LAUNCESTON, 99)), 0);
        assertTrue(home.shouldResign(LAUNCESTON, 0));
    }

    @Test
    public void testHolder_homeBeforeHigherToken() {
        PeerBook book = new PeerBook();
        book.heard(status("l", LAUNCESTON, false, held(LAUNCESTON, 3)), 0);
        book.heard(status("a", HOBART, false, held(LAUNCESTON, 99)), 0);
        assertEquals(book.holder(LAUNCESTON).orElseThrow().node(), NodeId.of("l"));
    }

    @Test
    public void testUnreachable_keepsAway() {
        PeerBook book = new PeerBook();
        Succession outside = succession("a", HOBART, book);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        outside.claim(LAUNCESTON, 0);
        outside.unreachable(LAUNCESTON, 4_000);
        assertFalse(outside.shouldClaim(LAUNCESTON, 6_900));
        assertTrue(outside.shouldClaim(LAUNCESTON, 7_000));
    }

    /**
     * A domain has two large VMs and nine small ones. The first by name is small; in a burst it falls behind, and every
     * caller of the domain waits for it while the large ones idle.
     */
    @Test
    public void testShouldClaim_strongestOfItsDomain() {
        PeerBook book = new PeerBook();
        book.heard(strong("z", HOBART, false), 0);
        assertFalse(succession("a", HOBART, book).shouldClaim(HOBART, 0));
        Succession strongest = new Succession(NodeId.of("z"), HOBART, "10.0.0.6", STRONG, new PeerBook(), APART);
        assertTrue(strongest.shouldClaim(HOBART, 0));
    }

    /** Both large VMs were restarted, and a small one took the shard meanwhile; it hands it back once they are warm. */
    @Test
    public void testShouldResign_muchStrongerNodeIsBack() {
        PeerBook book = new PeerBook();
        Succession small = succession("a", HOBART, book);
        small.claim(HOBART, 0);
        book.heard(strong("z", HOBART, false), 1_000);
        book.heard(strong("z", HOBART, false), 2_900);
        assertFalse(small.shouldResign(HOBART, 2_900));
        assertTrue(small.shouldResign(HOBART, 3_000));
    }

    @Test
    public void testShouldResign_strongerNodeLeavesOrIsElsewhere() {
        PeerBook book = new PeerBook();
        Succession small = succession("a", HOBART, book);
        small.claim(HOBART, 0);
        book.heard(strong("y", LAUNCESTON, false), 0);
        book.heard(strong("z", HOBART, true), 0);
        assertFalse(small.shouldResign(HOBART, 5_000));
    }

    /**
     * Two restarted nodes of a domain hear a third and not each other, for the store is away. Each took itself for the
     * first in line and claimed at once whenever it was outranked, twenty times a second; no caller was served.
     */
    @Test
    public void testOutranked_twoThatDoNotHearEachOther() {
        PeerBook book = new PeerBook();
        book.heard(status("z", HOBART, false), 0);
        Succession one = succession("a", HOBART, book);
        one.claim(HOBART, 0);
        one.outranked(HOBART, 1_000);
        assertTrue(one.shouldClaim(HOBART, 1_000));
        one.claim(HOBART, 0);
        one.outranked(HOBART, 1_050);
        assertFalse(one.shouldClaim(HOBART, 1_100));
        assertTrue(one.shouldClaim(HOBART, 4_050));
    }

    /**
     * One node is cut off from all others and still reaches the endpoints. It missed the holder of every shard, claimed
     * them all, and for two seconds most callers of a cluster that was otherwise well were refused.
     */
    @Test
    public void testShouldClaim_nodeThatLostAllPeersAtOnceWaits() {
        PeerBook book = new PeerBook();
        Succession cutOff = succession("a", HOBART, book);
        book.heard(status("h", HOBART, false, held(HOBART, 7)), 1_000);
        book.heard(status("l", LAUNCESTON, false, held(LAUNCESTON, 7)), 1_000);
        book.heard(status("m", LAUNCESTON, false), 0);
        assertFalse(cutOff.shouldClaim(HOBART, 1_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 1_000));
        book.expire(8_000);
        assertTrue(cutOff.isolated());
        assertFalse(cutOff.shouldClaim(HOBART, 8_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 8_000));
        assertFalse(cutOff.shouldClaim(LAUNCESTON, 14_400));
        assertTrue(cutOff.shouldClaim(HOBART, 14_500));
        assertTrue(cutOff.shouldClaim(LAUNCESTON, 14_500));
    }

    /** The only node of its domain is cut off with it, and its endpoints too: nobody else can serve that domain. */
    @Test
    public void testShouldClaim_onlyNodeOfADomainThatIsCutOff() {
        PeerBook book = new PeerBook();
        Succession only = succession("a", HOBART, book);
        book.heard(status("l", LAUNCESTON, false, held(LAUNCESTON, 7), held(HOBART, 7)), 0);
        book.heard(status("m", LAUNCESTON, false), 0);
        book.heard(status("n", LAUNCESTON, false), 0);
        book.expire(7_000);
        assertTrue(only.shouldClaim(HOBART, 7_000));
        assertFalse(only.shouldClaim(LAUNCESTON, 11_000));
    }

    /** One peer after the other is lost: the last node is not cut off, and goes on for all. */
    @Test
    public void testShouldClaim_peersLostOneByOne() {
        PeerBook book = new PeerBook();
        Succession last = succession("a", HOBART, book);
        book.heard(status("h", HOBART, false, held(HOBART, 7)), 20_000);
        book.heard(status("l", LAUNCESTON, false), 10_000);
        book.heard(status("m", LAUNCESTON, false), 0);
        book.expire(30_000);
        assertFalse(last.isolated());
        assertTrue(last.shouldClaim(HOBART, 30_000));
    }

    /**
     * A whole domain is lost. Nodes of other domains that hold nothing do not hear each other; each would take itself
     * for the first in line. A holder is heard by all of them, and claims.
     */
    @Test
    public void testShouldClaim_foreignShardIsForHolders() {
        PeerBook book = new PeerBook();
        Succession outside = succession("a", HOBART, book);
        book.heard(status("h", HOBART, false, held(HOBART, 7)), 0);
        assertFalse(outside.shouldClaim(LAUNCESTON, 0));
        assertFalse(outside.shouldClaim(LAUNCESTON, 3_000));
        PeerBook holdersBook = new PeerBook();
        Succession holder = succession("h", HOBART, holdersBook);
        holder.claim(HOBART, 0);
        holdersBook.heard(status("a", HOBART, false), 0);
        assertFalse(holder.shouldClaim(LAUNCESTON, 0));
        assertTrue(holder.shouldClaim(LAUNCESTON, 3_000));
    }

    @Test
    public void testIsSuccessor_firstAfterTheHolder() {
        PeerBook book = new PeerBook();
        book.heard(status("h", HOBART, false, held(HOBART, 7)), 0);
        book.heard(status("c", HOBART, false), 0);
        assertTrue(succession("b", HOBART, book).isSuccessor(HOBART));
        assertFalse(succession("d", HOBART, book).isSuccessor(HOBART));
    }
}
