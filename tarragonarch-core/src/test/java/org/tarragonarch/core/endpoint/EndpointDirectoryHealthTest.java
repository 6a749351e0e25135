package org.tarragonarch.core.endpoint;

import static org.tarragonarch.core.endpoint.DirectoryFixture.HOBART;
import static org.tarragonarch.core.endpoint.DirectoryFixture.KIND;
import static org.tarragonarch.core.endpoint.DirectoryFixture.LAUNCESTON;
import static org.tarragonarch.core.endpoint.DirectoryFixture.PEER;
import static org.tarragonarch.core.endpoint.DirectoryFixture.SERVICE;
import static org.tarragonarch.core.endpoint.DirectoryFixture.endpoint;
import static org.tarragonarch.core.endpoint.DirectoryFixture.vms;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.service.ServiceObjective;
import org.testng.annotations.Test;

public class EndpointDirectoryHealthTest {
    private final EndpointId broken = endpoint(1);

    private SendResult failAtBroken(EndpointId endpoint) {
        return endpoint.equals(broken) ? SendResult.TASK_FAILED : SendResult.SUCCEEDED;
    }

    private DirectoryFixture withTenEndpoints() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(vms(1, 10, HOBART));
        return fixture;
    }

    private DirectoryFixture withBrokenEndpointQuarantined() {
        DirectoryFixture fixture = withTenEndpoints();
        fixture.runTasks(500, KIND, this::failAtBroken);
        assertEquals(fixture.directory.views().quarantined(), ImmutableSet.of(broken));
        return fixture;
    }

    @Test
    public void testTaskEnded_endpointFailsEveryTask() {
        // Guards against an endpoint, such as one that lost its model files, that fails every task in a millisecond. It
        // always has free slots, so it attracts more and more tasks, and a tenth or more of all jobs fail.
        DirectoryFixture fixture = withTenEndpoints();
        List<EndpointId> used = fixture.runTasks(500, KIND, this::failAtBroken);
        assertEquals(Collections.frequency(used, broken), 3);
        assertEquals(fixture.directory.views().quarantined(), ImmutableSet.of(broken));
        assertEquals(fixture.noteCount(NoteEvent.ENDPOINT_QUARANTINED), 1);
    }

    @Test
    public void testTaskEnded_kindFailsEverywhere() {
        // Guards against a misconfigured kind that fails at every endpoint. If its failures led to quarantine, the
        // whole failure domain would be out of use, also for kinds that work.
        DirectoryFixture fixture = withTenEndpoints();
        KindName bad = KindName.of("bad");
        for (int i = 0; i < 300; i++) {
            fixture.runTasks(1, KIND, endpoint -> SendResult.SUCCEEDED);
            fixture.runTasks(1, bad, endpoint -> SendResult.TASK_FAILED);
        }
        assertEquals(fixture.directory.views().quarantined(), ImmutableSet.of());
        assertEquals(fixture.directory.slotsPerNode(SERVICE), 80);
    }

    @Test
    public void testTaskEnded_onlyEndpointIsNeverQuarantined() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(vms(1, 1, HOBART));
        fixture.runTasks(50, KIND, this::failAtBroken);
        assertTrue(fixture.directory.hasUsableEndpoint(SERVICE));
        assertTrue(fixture.reserve().isPresent());
        assertFalse(fixture.reserve().isPresent(), "a suspected endpoint gets one task at a time");
    }

    @Test
    public void testProbeEnded_trialRunsOneTaskAtATime() {
        DirectoryFixture fixture = withBrokenEndpointQuarantined();
        fixture.advance(Duration.ofSeconds(31));
        assertEquals(fixture.probeCount(), 1);
        fixture.endProbe(broken, true, false);
        long trials = fixture.reserveAll(ServiceObjective.RESPONSE_TIME).stream()
                .filter(broken::equals)
                .count();
        assertEquals(trials, 1);
        fixture.endTask(broken, SendResult.SUCCEEDED);
        for (int i = 0; i < 2; i++) {
            assertEquals(fixture.reserve(), Optional.of(broken));
            fixture.endTask(broken, SendResult.SUCCEEDED);
        }
        assertEquals(fixture.directory.views().quarantined(), ImmutableSet.of());
        assertEquals(fixture.reserveAll(ServiceObjective.RESPONSE_TIME).size(), 8);
        assertEquals(fixture.noteCount(NoteEvent.ENDPOINT_READMITTED), 1);
    }

    @Test
    public void testProbeEnded_firstFailureEndsTheTrial() {
        // Guards against a broken endpoint that answers probes as healthy. Each failed trial task is a failed job of a
        // caller, so the first failure ends the trial, and the next trial starts much later.
        DirectoryFixture fixture = withBrokenEndpointQuarantined();
        fixture.advance(Duration.ofSeconds(31));
        fixture.endProbe(broken, true, false);
        List<EndpointId> used = fixture.runTasks(500, KIND, this::failAtBroken);
        assertEquals(Collections.frequency(used, broken), 1);
        fixture.advance(Duration.ofSeconds(110));
        assertEquals(fixture.probeCount(), 1);
        fixture.advance(Duration.ofSeconds(12));
        assertEquals(fixture.probeCount(), 2);
    }

    @Test
    public void testPeerReported_peerQuarantineIsApplied() {
        DirectoryFixture fixture = withTenEndpoints();
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), ImmutableSet.of(broken));
        assertFalse(fixture.reserveAll(ServiceObjective.RESPONSE_TIME).contains(broken));
        assertEquals(
                fixture.directory.views().quarantined(),
                ImmutableSet.of(),
                "a peer's quarantine is not reported as this node's own");
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), ImmutableSet.of());
        assertEquals(fixture.reserveAll(ServiceObjective.RESPONSE_TIME), List.of(broken));
    }

    @Test
    public void testPeerReported_peerQuarantinesAllEndpoints() {
        // Guards against a peer with a broken network, which loses all its tasks and quarantines every endpoint. The
        // other nodes must keep most endpoints in use.
        DirectoryFixture fixture = withTenEndpoints();
        ImmutableSet.Builder<EndpointId> all = ImmutableSet.builder();
        for (int number = 1; number <= 10; number++) {
            all.add(endpoint(number));
        }
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), all.build());
        assertEquals(fixture.directory.slotsPerNode(SERVICE), 56);
    }

    @Test
    public void testTaskEnded_connectFailure() {
        DirectoryFixture fixture = withTenEndpoints();
        fixture.reserveAll(ServiceObjective.RESPONSE_TIME);
        fixture.endTask(broken, SendResult.CONNECT_FAILED);
        assertFalse(fixture.reserve().isPresent());
        fixture.advance(Duration.ofSeconds(1));
        assertEquals(fixture.probeCount(), 1);
        fixture.endProbe(broken, false, false);
        fixture.advance(Duration.ofMillis(900));
        assertEquals(fixture.probeCount(), 1);
        fixture.advance(Duration.ofSeconds(1));
        assertEquals(fixture.probeCount(), 2);
        fixture.endProbe(broken, true, false);
        assertEquals(fixture.directory.views().quarantined(), ImmutableSet.of());
        assertEquals(fixture.health(broken), "live");
    }

    @Test
    public void testTimePassed_lostProbeIsSentAgain() {
        DirectoryFixture fixture = withTenEndpoints();
        fixture.reserve();
        EndpointId used = fixture.directory.views().loads().get(0).endpoint();
        fixture.endTask(used, SendResult.CONNECT_FAILED);
        fixture.advance(Duration.ofSeconds(7));
        assertEquals(fixture.probeCount(), 2);
    }

    @Test
    public void testPeerReported_quarantinedEndpointIsListedLater() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), ImmutableSet.of(broken));
        fixture.readVmList(vms(1, 10, HOBART));
        assertFalse(fixture.reserveAll(ServiceObjective.RESPONSE_TIME).contains(broken));
    }

    @Test
    public void testTimePassed_endpointQuarantinedByTwoNodes() {
        // Two nodes quarantine the same endpoint. A failed trial task is a failed job of a caller, so only one node
        // tries the endpoint, and the other waits for the result.
        DirectoryFixture fixture = withBrokenEndpointQuarantined();
        boolean selfFirst = RendezvousHash.rank(DirectoryFixture.SELF, ImmutableSet.of(PEER), broken.value()) == 0;
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), ImmutableSet.of(broken));
        fixture.advance(Duration.ofSeconds(31));
        assertEquals(fixture.probeCount(), selfFirst ? 1 : 0);
        fixture.report(PEER, ImmutableList.of(), ImmutableSet.of(), ImmutableSet.of());
        fixture.advance(Duration.ofSeconds(6));
        assertTrue(fixture.probeCount() >= 1);
    }

    @Test
    public void testReserve_otherDomainIsCutOff() {
        // The link to launceston is cut while hobart is full. After two tasks have failed to connect, the third must
        // wait for a slot in hobart rather than lose time at the next endpoint of launceston.
        DirectoryFixture fixture = new DirectoryFixture();
        ImmutableList<VmRecord> both = ImmutableList.<VmRecord>builder()
                .addAll(vms(1, 1, HOBART))
                .addAll(vms(2, 11, LAUNCESTON))
                .build();
        fixture.readVmList(both);
        for (int i = 0; i < 8; i++) {
            assertEquals(fixture.reserve(), Optional.of(broken));
        }
        for (int i = 0; i < 2; i++) {
            fixture.endTask(fixture.reserve().get(), SendResult.CONNECT_FAILED);
            fixture.advance(Duration.ofMillis(1));
        }
        assertFalse(fixture.reserve().isPresent());
        fixture.advance(Duration.ofSeconds(1));
        EndpointId probed = fixture.actions.stream()
                .filter(ProbeEndpoint.class::isInstance)
                .map(action -> ((ProbeEndpoint) action).endpoint())
                .findFirst()
                .get();
        fixture.endProbe(probed, true, false);
        assertTrue(fixture.reserve().isPresent());
    }
}
