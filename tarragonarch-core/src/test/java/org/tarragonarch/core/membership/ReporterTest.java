package org.tarragonarch.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ReporterTest {
    private FakeNode self;
    private FakeNode other;

    @BeforeMethod
    public void createNodes() {
        self = new FakeNode("hobart-1", "hobart", 5);
        other = new FakeNode("hobart-2", "hobart", 3);
        self.updateListed(0, self.vm(), other.vm());
    }

    @Test
    public void testTimePassed_newPeer() {
        self.loads.put(EndpointId.of("w-1"), 2);
        self.timePassed(0);
        SendReport sent = Iterables.getOnlyElement(self.takeSent());
        assertTrue(sent.report().full());
        assertEquals(sent.report().sequence(), 1);
        assertEquals(sent.report().loads(), self.loads());
    }

    @Test
    public void testTimePassed_idleNode() {
        self.run(0, 20_000);
        assertEquals(self.takeSent().size(), 30, 1);
    }

    @Test
    public void testTimePassed_busyNode() {
        for (int second = 0; second < 20; second++) {
            for (int part = 0; part < 10; part++) {
                self.loads.put(EndpointId.of("w-1"), part + 1);
                self.run(second * 1_000 + part * 100, second * 1_000 + part * 100 + 90);
            }
        }
        assertEquals(self.takeSent().size(), 80, 4);
    }

    /** Guards against a wake-up time in the past for a postponed check that a round has made unnecessary. */
    @Test
    public void testTimePassed_roundAfterPostponedReport() {
        self.timePassed(0);
        self.reportNow(100);
        self.leaving = ImmutableSet.of(EndpointId.of("w-1"));
        self.reportNow(110);
        self.phase = NodePhase.FINISHING;
        self.timePassed(150);
        assertTrue(self.directory.nextWakeNanos() > FakeNode.millis(150));
    }

    @Test
    public void testTimePassed_peerOfOtherDomain() {
        FakeNode far = new FakeNode("devonport-1", "devonport", 3);
        FakeNode near = new FakeNode("hobart-1", "hobart", 5);
        near.updateListed(0, near.vm(), far.vm());
        near.run(0, 20_000);
        assertEquals(near.takeSent().size(), 10, 1);
    }

    /** Guards against a leaving endpoint or new configuration that other domains learn of only after three rounds. */
    @Test
    public void testReportNow_peerOfOtherDomain() {
        FakeNode far = new FakeNode("devonport-1", "devonport", 3);
        FakeNode near = new FakeNode("hobart-1", "hobart", 5);
        near.updateListed(0, near.vm(), far.vm());
        near.timePassed(0);
        near.takeSent();
        near.leaving = ImmutableSet.of(EndpointId.of("w-1"));
        near.reportNow(100);
        assertEquals(near.takeSent().size(), 1);
    }

    /** Guards against a message for each answer of a leaving endpoint instead of one for the first answer. */
    @Test
    public void testReportNow_repeatedForOneChange() {
        self.timePassed(0);
        self.takeSent();
        self.leaving = ImmutableSet.of(EndpointId.of("w-1"));
        for (int millis = 100; millis < 300; millis++) {
            self.reportNow(millis);
        }
        assertEquals(self.takeSent().size(), 1);
    }

    @Test
    public void testReportNow_changeWithinUrgentGap() {
        self.timePassed(0);
        self.reportNow(100);
        self.takeSent();
        self.leaving = ImmutableSet.of(EndpointId.of("w-1"));
        self.reportNow(110);
        assertEquals(self.takeSent(), ImmutableList.of());
        self.run(120, 150);
        assertEquals(Iterables.getOnlyElement(self.takeSent()).report().leaving(), self.leaving);
    }

    @Test
    public void testTimePassed_newPhase() {
        self.timePassed(0);
        self.takeSent();
        self.phase = NodePhase.FINISHING;
        self.timePassed(10);
        assertEquals(Iterables.getOnlyElement(self.takeSent()).report().phase(), NodePhase.FINISHING);
    }

    @Test
    public void testTimePassed_restartedPeer() {
        self.recordReport(0, other.report(1));
        self.run(0, 3_000);
        assertFalse(Iterables.getLast(self.takeSent()).report().full());
        self.recordReport(3_000, new FakeNode("hobart-2", "hobart", 4).report(1));
        self.run(3_010, 4_000);
        assertTrue(self.takeSent().get(0).report().full());
    }

    /** Guards against deltas that do not add up to the node's loads, over 200 rounds of random changes. */
    @Test
    public void testTimePassed_deltasAddUpToLoads() {
        Random random = new Random(11);
        Map<EndpointId, Integer> received = new TreeMap<>();
        int deltas = 0;
        for (int i = 0; i < 200; i++) {
            changeLoads(random);
            self.run(i * 300, i * 300 + 290);
            for (SendReport sent : self.takeSent()) {
                deltas += sent.report().full() ? 0 : 1;
                apply(sent.report(), received);
                assertEquals(received, self.loads, "after step " + i);
            }
        }
        assertTrue(deltas > 50, "only " + deltas + " deltas");
    }

    /** Guards against loads that stay outdated after a full report, with one report in three lost. */
    @Test
    public void testTimePassed_fullReportAfterLostReports() {
        Random random = new Random(12);
        Map<EndpointId, Integer> received = new TreeMap<>();
        int fulls = 0;
        for (int i = 0; i < 200; i++) {
            changeLoads(random);
            self.run(i * 300, i * 300 + 290);
            for (SendReport sent : self.takeSent()) {
                if (random.nextInt(3) != 0) {
                    apply(sent.report(), received);
                    if (sent.report().full()) {
                        fulls++;
                        assertEquals(received, self.loads, "after step " + i);
                    }
                }
            }
        }
        assertTrue(fulls >= 10, "only " + fulls + " full reports");
    }

    /** Guards against reports of 90 KB/s in a domain of 30 nodes and 110 endpoints under full load. */
    @Test
    public void testTimePassed_manyPeersAndEndpoints() {
        VmRecord[] vms = new VmRecord[31];
        for (int i = 0; i < vms.length; i++) {
            vms[i] = FakeNode.vm("hobart-" + (i + 1), "hobart");
        }
        self.updateListed(0, vms);
        Random random = new Random(13);
        long bytes = 0;
        Map<String, Long> reportMillis = new TreeMap<>();
        Map<String, Long> loadsMillis = new TreeMap<>();
        for (long millis = 0; millis < 60_000; millis += 50) {
            for (int i = 0; i < 30; i++) {
                self.loads.put(EndpointId.of(String.format("w-%03d", random.nextInt(110))), 1 + random.nextInt(3));
            }
            self.run(millis, millis + 40);
            for (SendReport sent : self.takeSent()) {
                bytes += ReportPacer.estimatedBytes(sent.report().loads().size());
                long before = reportMillis.getOrDefault(sent.peer().value(), 0L);
                assertTrue(millis - before <= 750, "silent from " + before + " to " + millis);
                reportMillis.put(sent.peer().value(), millis);
                if (!sent.report().loads().isEmpty()) {
                    long loadsBefore = loadsMillis.getOrDefault(sent.peer().value(), 0L);
                    assertTrue(millis - loadsBefore <= 10_000, "no loads from " + loadsBefore + " to " + millis);
                    loadsMillis.put(sent.peer().value(), millis);
                }
            }
        }
        assertTrue(bytes / 60 <= ReportPacer.BYTES_PER_SECOND * 1.05, bytes / 60 + " bytes a second");
        assertEquals(loadsMillis.size(), 30);
    }

    private void changeLoads(Random random) {
        for (int i = 0; i < 2; i++) {
            EndpointId endpoint = EndpointId.of("w-" + random.nextInt(10));
            int inFlight = random.nextInt(4);
            if (inFlight == 0) {
                self.loads.remove(endpoint);
            } else {
                self.loads.put(endpoint, inFlight);
            }
        }
    }

    private static void apply(PeerReport report, Map<EndpointId, Integer> received) {
        if (report.full()) {
            received.clear();
        }
        report.loads().forEach(load -> {
            if (load.inFlight() == 0) {
                received.remove(load.endpoint());
            } else {
                received.put(load.endpoint(), load.inFlight());
            }
        });
    }
}
