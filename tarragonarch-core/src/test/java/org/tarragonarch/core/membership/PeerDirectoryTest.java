package org.tarragonarch.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodePhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PeerDirectoryTest {
    private static final NodeId SELF = NodeId.of("hobart-1");
    private static final NodeId OTHER = NodeId.of("hobart-2");

    private FakeNode self;
    private FakeNode other;

    @BeforeMethod
    public void createNodes() {
        self = new FakeNode("hobart-1", "hobart", 5);
        other = new FakeNode("hobart-2", "hobart", 3);
    }

    /** Guards against a dead but listed node whose share of every endpoint stays unused. */
    @Test
    public void testAliveInDomain_listedPeerThatWasNeverHeardIsNotAlive() {
        self.listed(0, self.vm(), other.vm());
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.sharers().size(), 2);
    }

    /** A node has started and the list does not know it yet, or is out: it uses endpoints all the same. */
    @Test
    public void testAliveInDomain_unlistedPeerThatIsHeardIsAlive() {
        assertTrue(self.heard(0, other.report(1)));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        assertEquals(self.directory.sharers().size(), 2);
        assertEquals(self.noted(NoteEvent.PEER_ALIVE), ImmutableList.of("hobart-2"));
    }

    @Test
    public void testTimePassed_peerNotHeardForTheBoundIsSilentAndStillShares() {
        self.listed(0, self.vm(), other.vm());
        self.heard(0, other.report(1));
        self.run(0, 1_990);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(2_000, 2_000);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.noted(NoteEvent.PEER_SILENT), ImmutableList.of("hobart-2"));
        assertEquals(self.directory.sharers().size(), 2);
    }

    /** Guards against a node that takes rare calls for pauses of its own and shares with a dead peer for good. */
    @Test
    public void testTimePassed_onlyPeerIsUnlistedAndFallsSilent() {
        self.heard(0, other.report(1));
        self.timePassed(0);
        self.run(0, 2_100);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
    }

    /** Guards against a node that slept, takes its peers for silent and uses all slots of the domain. */
    @Test
    public void testTimePassed_ownPauseMakesNoPeerSilent() {
        self.listed(0, self.vm(), other.vm());
        self.heard(0, other.report(1));
        self.run(0, 500);
        self.timePassed(10_500);
        assertEquals(self.noted(NoteEvent.SLEPT_PAST_LEASE), ImmutableList.of("hobart-1"));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(10_510, 12_490);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(12_500, 12_500);
        assertEquals(self.noted(NoteEvent.PEER_SILENT), ImmutableList.of("hobart-2"));
    }

    /** Guards against late reports of a killed run that count as tasks in flight of the next. */
    @Test
    public void testHeard_earlierRunIsDroppedAfterALaterOne() {
        FakeNode restarted = new FakeNode("hobart-2", "hobart", 4);
        assertTrue(self.heard(0, other.report(70)));
        assertTrue(self.heard(10, restarted.report(1)));
        assertFalse(self.heard(20, other.report(71)));
        assertTrue(self.heard(30, restarted.report(2)));
        assertEquals(self.noted(NoteEvent.STALE_REPORT_DROPPED), ImmutableList.of("hobart-2"));
    }

    @Test
    public void testHeard_reportOutOfOrderIsDropped() {
        assertTrue(self.heard(0, other.report(2)));
        assertFalse(self.heard(10, other.report(1)));
        assertFalse(self.heard(20, other.report(2)));
        assertEquals(self.noted(NoteEvent.STALE_REPORT_DROPPED).size(), 2);
    }

    /** An earlier process of this very node was only frozen, wakes and reports: it is no peer. */
    @Test
    public void testHeard_ownNameIsNoPeer() {
        assertFalse(self.heard(0, new FakeNode("hobart-1", "hobart", 4).report(1)));
        assertEquals(self.directory.sharers().size(), 1);
    }

    @Test
    public void testAliveInDomain_peerThatFinishesTakesNoWorkButShares() {
        self.heard(0, other.report(1));
        other.phase = NodePhase.DRAINING;
        self.heard(10, other.report(2));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        other.phase = NodePhase.FINISHING;
        self.heard(20, other.report(3));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.sharers().size(), 2);
    }

    @Test
    public void testAliveInDomain_otherDomainsDoNotCount() {
        FakeNode far = new FakeNode("devonport-1", "devonport", 1);
        self.listed(0, self.vm(), far.vm());
        self.heard(0, far.report(1));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.sharers().size(), 1);
        assertTrue(Iterables.getOnlyElement(self.directory.status()).alive());
    }

    @Test
    public void testSharers_peerGoneFromListAndSilentIsForgottenAfterAMinute() {
        self.listed(0, self.vm(), other.vm());
        self.listed(2_000, self.vm());
        self.listed(59_000, self.vm());
        assertEquals(self.directory.sharers().size(), 2);
        self.listed(62_000, self.vm());
        assertEquals(self.directory.sharers().size(), 1);
    }

    @Test
    public void testHeard_lostReportIsNotedUntilTheNextFullOne() {
        other.listed(0, self.vm(), other.vm());
        other.heard(0, self.report(1));
        other.run(0, 3_000);
        var reports = other.takeSent();
        self.heard(0, reports.get(0).report());
        self.heard(500, reports.get(1).report());
        assertEquals(self.noted(NoteEvent.REPORT_GAP), ImmutableList.of());
        self.heard(1_500, reports.get(3).report());
        assertEquals(self.noted(NoteEvent.REPORT_GAP), ImmutableList.of("hobart-2"));
    }
}
