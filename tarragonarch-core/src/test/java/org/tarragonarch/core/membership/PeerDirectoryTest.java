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

    /** Guards against an unused share of every endpoint because a listed node is dead. */
    @Test
    public void testAliveInDomain_listedPeerWithoutReport() {
        self.updateListed(0, self.vm(), other.vm());
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.quotaSharers().size(), 2);
    }

    /** Guards against ignoring a node that uses endpoints but is not listed yet, or not listed during an outage. */
    @Test
    public void testAliveInDomain_unlistedPeerWithReport() {
        assertTrue(self.recordReport(0, other.report(1)));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        assertEquals(self.directory.quotaSharers().size(), 2);
        assertEquals(self.peersNoted(NoteEvent.PEER_ALIVE), ImmutableList.of("hobart-2"));
    }

    @Test
    public void testTimePassed_peerFallsSilent() {
        self.updateListed(0, self.vm(), other.vm());
        self.recordReport(0, other.report(1));
        self.run(0, 1_990);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(2_000, 2_000);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.peersNoted(NoteEvent.PEER_SILENT), ImmutableList.of("hobart-2"));
        assertEquals(self.directory.quotaSharers().size(), 2);
    }

    /** Guards against a node that takes infrequent calls for its own pauses and never detects a dead peer. */
    @Test
    public void testTimePassed_onlyPeerUnlistedAndSilent() {
        self.recordReport(0, other.report(1));
        self.timePassed(0);
        self.run(0, 2_100);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
    }

    /** Guards against a node that paused, takes its peers for silent and uses all slots of the domain. */
    @Test
    public void testTimePassed_afterOwnPause() {
        self.updateListed(0, self.vm(), other.vm());
        self.recordReport(0, other.report(1));
        self.run(0, 500);
        self.timePassed(10_500);
        assertEquals(self.peersNoted(NoteEvent.SLEPT_PAST_LEASE), ImmutableList.of("hobart-1"));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(10_510, 12_490);
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        self.run(12_500, 12_500);
        assertEquals(self.peersNoted(NoteEvent.PEER_SILENT), ImmutableList.of("hobart-2"));
    }

    /** Guards against late reports of a killed process that count as tasks in flight of its successor. */
    @Test
    public void testRecordReport_earlierIncarnation() {
        FakeNode restarted = new FakeNode("hobart-2", "hobart", 4);
        assertTrue(self.recordReport(0, other.report(70)));
        assertTrue(self.recordReport(10, restarted.report(1)));
        assertFalse(self.recordReport(20, other.report(71)));
        assertTrue(self.recordReport(30, restarted.report(2)));
        assertEquals(self.peersNoted(NoteEvent.STALE_REPORT_DROPPED), ImmutableList.of("hobart-2"));
    }

    @Test
    public void testRecordReport_outOfOrder() {
        assertTrue(self.recordReport(0, other.report(2)));
        assertFalse(self.recordReport(10, other.report(1)));
        assertFalse(self.recordReport(20, other.report(2)));
        assertEquals(self.peersNoted(NoteEvent.STALE_REPORT_DROPPED).size(), 2);
    }

    /** Guards against an earlier process of this node that was suspended, resumes reporting and counts as a peer. */
    @Test
    public void testRecordReport_fromOwnName() {
        assertFalse(self.recordReport(0, new FakeNode("hobart-1", "hobart", 4).report(1)));
        assertEquals(self.directory.quotaSharers().size(), 1);
    }

    @Test
    public void testAliveInDomain_finishingPeer() {
        self.recordReport(0, other.report(1));
        other.phase = NodePhase.DRAINING;
        self.recordReport(10, other.report(2));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF, OTHER));
        other.phase = NodePhase.FINISHING;
        self.recordReport(20, other.report(3));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.quotaSharers().size(), 2);
    }

    @Test
    public void testAliveInDomain_peerOfOtherDomain() {
        FakeNode far = new FakeNode("devonport-1", "devonport", 1);
        self.updateListed(0, self.vm(), far.vm());
        self.recordReport(0, far.report(1));
        assertEquals(self.directory.aliveInDomain(), ImmutableSet.of(SELF));
        assertEquals(self.directory.quotaSharers().size(), 1);
        assertTrue(Iterables.getOnlyElement(self.directory.status()).alive());
    }

    @Test
    public void testQuotaSharers_unlistedSilentPeer() {
        self.updateListed(0, self.vm(), other.vm());
        self.updateListed(2_000, self.vm());
        self.updateListed(59_000, self.vm());
        assertEquals(self.directory.quotaSharers().size(), 2);
        self.updateListed(62_000, self.vm());
        assertEquals(self.directory.quotaSharers().size(), 1);
    }

    @Test
    public void testRecordReport_afterLostReport() {
        other.updateListed(0, self.vm(), other.vm());
        other.recordReport(0, self.report(1));
        other.run(0, 3_000);
        var reports = other.takeSent();
        self.recordReport(0, reports.get(0).report());
        self.recordReport(500, reports.get(1).report());
        assertEquals(self.peersNoted(NoteEvent.REPORT_GAP), ImmutableList.of());
        self.recordReport(1_500, reports.get(3).report());
        assertEquals(self.peersNoted(NoteEvent.REPORT_GAP), ImmutableList.of("hobart-2"));
    }
}
