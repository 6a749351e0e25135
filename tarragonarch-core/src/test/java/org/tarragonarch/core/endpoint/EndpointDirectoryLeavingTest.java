package org.tarragonarch.core.endpoint;

import static org.tarragonarch.core.endpoint.DirectoryFixture.HOBART;
import static org.tarragonarch.core.endpoint.DirectoryFixture.PEER;
import static org.tarragonarch.core.endpoint.DirectoryFixture.endpoint;
import static org.tarragonarch.core.endpoint.DirectoryFixture.vm;
import static org.tarragonarch.core.endpoint.DirectoryFixture.vms;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.service.ServiceObjective;
import org.testng.annotations.Test;

public class EndpointDirectoryLeavingTest {
    private final DirectoryFixture fixture = new DirectoryFixture();
    private final EndpointId first = endpoint(1);

    @Test
    public void testReserve_endpointReportedLeaving() {
        // An endpoint about to be replaced announces it in a response, but the VM list shows it as live for another
        // minute. If the next list reinstated it, its last tasks would be cut off.
        DirectoryFixture leaving = new DirectoryFixture();
        leaving.readVmList(vms(1, 2, HOBART));
        List<EndpointId> before = leaving.reserveAll(ServiceObjective.RESPONSE_TIME);
        assertTrue(before.contains(first));
        leaving.endTaskAsLeaving(first);
        leaving.readVmList(vms(1, 2, HOBART));
        assertEquals(leaving.directory.views().leaving(), ImmutableSet.of(first));
        assertFalse(leaving.reserve().isPresent());
        assertEquals(leaving.noteCount(NoteEvent.ENDPOINT_LEAVING), 1);
    }

    @Test
    public void testReserve_endpointRefusedAsDraining() {
        // An endpoint restarts in place: it refuses tasks as draining, then serves again at the same address. The VM
        // list does not change, so only a probe shows that the endpoint is back.
        DirectoryFixture restarted = new DirectoryFixture();
        restarted.readVmList(vms(1, 1, HOBART));
        restarted.reserve();
        restarted.endTask(first, SendResult.REFUSED_DRAINING);
        assertFalse(restarted.reserve().isPresent());
        restarted.advance(Duration.ofSeconds(16));
        assertEquals(restarted.probeCount(), 1);
        restarted.endProbe(first, true, true);
        assertFalse(restarted.reserve().isPresent());
        restarted.advance(Duration.ofSeconds(16));
        restarted.endProbe(first, true, false);
        assertEquals(restarted.reserve().get(), first);
    }

    /** Guards against tasks for endpoints of a drained failure domain, including endpoints listed later. */
    @Test
    public void testSetDrainedDomains_noEndpointOfTheDomainGetsTasks() {
        DirectoryFixture drained = new DirectoryFixture();
        drained.readVmList(vms(1, 1, HOBART));
        drained.directory.setDrainedDomains(ImmutableSet.of(HOBART), drained.nowNanos, drained.actions::add);
        assertFalse(drained.reserve().isPresent());
        drained.readVmList(vms(1, 2, HOBART));
        assertFalse(drained.reserve().isPresent());
        drained.directory.setDrainedDomains(ImmutableSet.of(), drained.nowNanos, drained.actions::add);
        assertTrue(drained.reserve().isPresent());
    }

    /** Guards against an endpoint drained by an operator that is reinstated together with its failure domain. */
    @Test
    public void testSetDrainedDomains_separatelyDrainedEndpoint() {
        DirectoryFixture drained = new DirectoryFixture();
        drained.readVmList(vms(1, 1, HOBART));
        drained.directory.setDrained(first, true, drained.nowNanos, drained.actions::add);
        drained.directory.setDrainedDomains(ImmutableSet.of(HOBART), drained.nowNanos, drained.actions::add);
        drained.directory.setDrainedDomains(ImmutableSet.of(), drained.nowNanos, drained.actions::add);
        assertFalse(drained.reserve().isPresent());
    }

    @Test
    public void testVmListRead_leavingEndpointWithAnotherAddress() {
        DirectoryFixture replaced = new DirectoryFixture();
        replaced.readVmList(ImmutableList.of(vm(1, HOBART, VmState.LEAVING, 8)));
        assertFalse(replaced.reserve().isPresent());
        replaced.readVmList(vms(1, 1, HOBART));
        assertFalse(replaced.reserve().isPresent());
        VmRecord old = vm(1, HOBART, VmState.LIVE, 8);
        replaced.readVmList(ImmutableList.of(new VmRecord(
                old.name(),
                VmRole.ENDPOINT,
                HOBART,
                vm(77, HOBART, VmState.LIVE, 8).address(),
                VmState.LIVE,
                old.services(),
                8)));
        assertEquals(replaced.reserve().get(), first);
    }

    @Test
    public void testPeerReported_repeatedLeavingReportIsIgnored() {
        // A peer learns that an endpoint is leaving and repeats it in each report. A probe by this node finds the
        // endpoint back in service, so the repeated report must not take it out of use again.
        DirectoryFixture informed = new DirectoryFixture();
        informed.readVmList(vms(1, 1, HOBART));
        informed.report(PEER, ImmutableList.of(), ImmutableSet.of(first), ImmutableSet.of());
        assertFalse(informed.reserve().isPresent());
        informed.advance(Duration.ofSeconds(16));
        informed.endProbe(first, true, false);
        informed.report(PEER, ImmutableList.of(), ImmutableSet.of(first), ImmutableSet.of());
        assertTrue(informed.reserve().isPresent());
    }

    @Test
    public void testSetDrained_endpointIsListedLater() {
        DirectoryFixture drained = new DirectoryFixture();
        drained.directory.setDrained(first, true, drained.nowNanos, drained.actions::add);
        drained.readVmList(vms(1, 1, HOBART));
        assertFalse(drained.reserve().isPresent());
        assertEquals(drained.health(first), "drained");
        assertFalse(drained.directory.hasUsableEndpoint(DirectoryFixture.SERVICE));
        drained.directory.setDrained(first, false, drained.nowNanos, drained.actions::add);
        assertTrue(drained.reserve().isPresent());
    }

    @Test
    public void testVmListRead_missingEndpointKeepsItsRunningTasks() {
        DirectoryFixture missing = new DirectoryFixture();
        missing.readVmList(vms(1, 4, HOBART));
        missing.reserveAll(ServiceObjective.RESPONSE_TIME);
        missing.readVmList(vms(2, 4, HOBART));
        missing.endTask(first, SendResult.SUCCEEDED);
        assertFalse(missing.reserve().isPresent());
        assertEquals(missing.directory.views().loads().get(0).inFlight(), 7);
        for (int i = 0; i < 7; i++) {
            missing.endTask(first, SendResult.SUCCEEDED);
        }
        assertEquals(missing.health(first), "unknown");
        assertEquals(missing.noteCount(NoteEvent.ENDPOINT_GONE), 1);
    }

    @Test
    public void testVmListRead_emptyOrTruncatedList() {
        // A platform fault yields an empty VM list, then one with two of ten endpoints, while all ten still serve.
        // Removing the missing endpoints would stop the whole failure domain.
        fixture.readVmList(vms(1, 10, HOBART));
        fixture.readVmList(ImmutableList.of());
        assertEquals(fixture.directory.slotsPerNode(DirectoryFixture.SERVICE), 80);
        fixture.readVmList(vms(9, 10, HOBART));
        assertEquals(fixture.directory.slotsPerNode(DirectoryFixture.SERVICE), 80);
        fixture.readVmList(vms(2, 10, HOBART));
        assertEquals(fixture.directory.slotsPerNode(DirectoryFixture.SERVICE), 72);
    }
}
