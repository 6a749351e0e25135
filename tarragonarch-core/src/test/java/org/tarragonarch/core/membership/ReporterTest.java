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

    /** Guards against a wake at a time already past, for news that a round has sent meanwhile. */
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

    /** A leaving endpoint or a new configuration is news that other domains must not wait three rounds for. */
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

    /** Guards against a message for each answer of a leaving endpoint instead of one for the first. */
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

    /** Random loads over 200 reports: what the peer puts together from deltas is what the node has. */
    @Test
    public void testTimePassed_deltasAddUpToLoads() {
        Random random = new Random(11);
        Map<EndpointId, Integer> picture = new TreeMap<>();
        int deltas = 0;
        for (int i = 0; i < 200; i++) {
            changeLoads(random);
            self.run(i * 300, i * 300 + 290);
            for (SendReport sent : self.takeSent()) {
                deltas += sent.report().full() ? 0 : 1;
                apply(sent.report(), picture);
                assertEquals(picture, self.loads, "after step " + i);
            }
        }
        assertTrue(deltas > 50, "only " + deltas + " deltas");
    }

    /** One report in three is lost: the picture is whole again with each full report. */
    @Test
    public void testTimePassed_fullReportAfterLostReports() {
        Random random = new Random(12);
        Map<EndpointId, Integer> picture = new TreeMap<>();
        int fulls = 0;
        for (int i = 0; i < 200; i++) {
            changeLoads(random);
            self.run(i * 300, i * 300 + 290);
            for (SendReport sent : self.takeSent()) {
                if (random.nextInt(3) != 0) {
                    apply(sent.report(), picture);
                    if (sent.report().full()) {
                        fulls++;
                        assertEquals(picture, self.loads, "after step " + i);
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
        long cost = 0;
        Map<String, Long> heardMillis = new TreeMap<>();
        Map<String, Long> toldMillis = new TreeMap<>();
        for (long millis = 0; millis < 60_000; millis += 50) {
            for (int i = 0; i < 30; i++) {
                self.loads.put(EndpointId.of(String.format("w-%03d", random.nextInt(110))), 1 + random.nextInt(3));
            }
            self.run(millis, millis + 40);
            for (SendReport sent : self.takeSent()) {
                cost += ReportPacer.estimatedBytes(sent.report().loads().size());
                long before = heardMillis.getOrDefault(sent.peer().value(), 0L);
                assertTrue(millis - before <= 750, "silent from " + before + " to " + millis);
                heardMillis.put(sent.peer().value(), millis);
                if (!sent.report().loads().isEmpty()) {
                    long told = toldMillis.getOrDefault(sent.peer().value(), 0L);
                    assertTrue(millis - told <= 10_000, "not told loads from " + told + " to " + millis);
                    toldMillis.put(sent.peer().value(), millis);
                }
            }
        }
        assertTrue(cost / 60 <= ReportPacer.BYTES_PER_SECOND * 1.05, cost / 60 + " bytes a second");
        assertEquals(toldMillis.size(), 30);
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

    private static void apply(PeerReport report, Map<EndpointId, Integer> picture) {
        if (report.full()) {
            picture.clear();
        }
        report.loads().forEach(load -> {
            if (load.inFlight() == 0) {
                picture.remove(load.endpoint());
            } else {
                picture.put(load.endpoint(), load.inFlight());
            }
        });
    }
}
