package org.tarragonarch.core.endpoint;

import static org.tarragonarch.core.endpoint.DirectoryFixture.HOBART;
import static org.tarragonarch.core.endpoint.DirectoryFixture.LAUNCESTON;
import static org.tarragonarch.core.endpoint.DirectoryFixture.PEER;
import static org.tarragonarch.core.endpoint.DirectoryFixture.SELF;
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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.service.ServiceObjective;
import org.testng.annotations.Test;

public class EndpointDirectoryPlacementTest {
    private static ImmutableList<VmRecord> hobartAndLaunceston() {
        return ImmutableList.<VmRecord>builder()
                .addAll(vms(1, 1, HOBART))
                .addAll(vms(2, 2, LAUNCESTON))
                .build();
    }

    private static DirectoryFixture withAPeer() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.directory.setAliveNodes(ImmutableSet.of(SELF, PEER), fixture.nowNanos, fixture.actions::add);
        fixture.readVmList(vms(1, 10, HOBART));
        return fixture;
    }

    @Test
    public void testReserve_spreadsOverEndpoints() {
        DirectoryFixture fixture = withAPeer();
        assertEquals(fixture.directory.slotsPerNode(SERVICE), 40);
        HashSet<EndpointId> used = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            used.add(fixture.reserve().get());
        }
        assertEquals(used.size(), 10);
    }

    @Test
    public void testReserve_borrowsFreeSlotsByObjective() {
        assertEquals(withABusyPeer().reserveAll(ServiceObjective.RESPONSE_TIME).size(), 50);
        assertEquals(withABusyPeer().reserveAll(ServiceObjective.FEW_MESSAGES).size(), 40);
    }

    /** Guards against slots left free for an idle peer when all callers use one node. */
    @Test
    public void testReserve_takesAllSlotsOfIdlePeers() {
        for (ServiceObjective objective : ServiceObjective.values()) {
            DirectoryFixture fixture = withAPeer();
            fixture.nowNanos += Duration.ofSeconds(3).toNanos();
            assertEquals(fixture.reserveAll(objective).size(), 80);
        }
    }

    /** Guards against taking all slots of a peer with bursts of work after one report without load. */
    @Test
    public void testReserve_leavesSlotsToRecentlyBusyPeers() {
        assertEquals(withAPeer().reserveAll(ServiceObjective.RESPONSE_TIME).size(), 60);
        assertEquals(withAPeer().reserveAll(ServiceObjective.FEW_MESSAGES).size(), 50);
    }

    private static DirectoryFixture withABusyPeer() {
        DirectoryFixture fixture = withAPeer();
        ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
        for (int number = 1; number <= 10; number++) {
            loads.add(new EndpointLoad(endpoint(number), 1));
        }
        fixture.report(PEER, loads.build(), ImmutableSet.of(), ImmutableSet.of());
        return fixture;
    }

    @Test
    public void testReserve_leavesSlotsUsedByPeers() {
        DirectoryFixture fixture = withAPeer();
        ImmutableList.Builder<EndpointLoad> loads = ImmutableList.builder();
        for (int number = 1; number <= 10; number++) {
            loads.add(new EndpointLoad(endpoint(number), 3));
        }
        fixture.report(PEER, loads.build(), ImmutableSet.of(), ImmutableSet.of());
        assertEquals(fixture.reserveAll(ServiceObjective.RESPONSE_TIME).size(), 40);
        fixture.directory.setAliveNodes(ImmutableSet.of(SELF), fixture.nowNanos, fixture.actions::add);
        assertEquals(
                fixture.reserveAll(ServiceObjective.RESPONSE_TIME).size(), 40, "tasks of a dead peer no longer count");
    }

    @Test
    public void testReserve_avoidsEndpointsThatFailedTheTask() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(vms(1, 2, HOBART));
        for (int i = 0; i < 8; i++) {
            assertEquals(
                    fixture.reserve(ServiceObjective.RESPONSE_TIME, endpoint(1)).get(), endpoint(2));
        }
        assertFalse(fixture.reserve(ServiceObjective.RESPONSE_TIME, endpoint(1)).isPresent());
    }

    @Test
    public void testTaskEnded_busyRefusalDecays() {
        // Peers use slots that they have not reported yet. A busy refusal shows that all slots are in use. Each slot
        // counted as free too early causes another refused send, so slots are counted as free one at a time.
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(vms(1, 1, HOBART));
        fixture.reserve();
        fixture.reserve();
        fixture.endTask(endpoint(1), SendResult.REFUSED_BUSY);
        assertFalse(fixture.reserve().isPresent());
        fixture.endTask(endpoint(1), SendResult.SUCCEEDED);
        assertTrue(fixture.reserve().isPresent(), "the slot released by this node's own task");
        assertFalse(fixture.reserve().isPresent());
        fixture.advance(Duration.ofMillis(41));
        assertTrue(fixture.reserve().isPresent());
        assertFalse(fixture.reserve().isPresent());
        fixture.endTask(endpoint(1), SendResult.REFUSED_BUSY);
        fixture.advance(Duration.ofMillis(41));
        assertFalse(fixture.reserve().isPresent(), "the second refusal decays more slowly");
        fixture.advance(Duration.ofMillis(40));
        assertTrue(fixture.reserve().isPresent());
    }

    @Test
    public void testReserve_ownDomainBeforeOthers() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(hobartAndLaunceston());
        List<EndpointId> used = fixture.reserveAll(ServiceObjective.RESPONSE_TIME);
        assertEquals(used.subList(0, 8), Collections.nCopies(8, endpoint(1)));
        assertEquals(used.size(), 14);
    }

    @Test
    public void testReserve_fewMessagesSpillsOnlyWhenOwnDomainIsUnusable() {
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(hobartAndLaunceston());
        assertFalse(fixture.reserveAll(ServiceObjective.FEW_MESSAGES).contains(endpoint(2)));
        fixture.endTask(endpoint(1), SendResult.CONNECT_FAILED);
        assertTrue(fixture.reserveAll(ServiceObjective.FEW_MESSAGES).contains(endpoint(2)));
    }

    @Test
    public void testReserve_refusedSpillsSlowDown() {
        // Both failure domains are full. Without a limit on the pace, each end of a task would send all waiting tasks
        // to launceston, where they are refused and compete with the tasks of launceston's own nodes.
        DirectoryFixture fixture = new DirectoryFixture();
        fixture.readVmList(ImmutableList.<VmRecord>builder()
                .addAll(vms(1, 1, HOBART))
                .addAll(vms(2, 9, LAUNCESTON))
                .build());
        for (int i = 0; i < 8; i++) {
            fixture.reserve();
        }
        int sent = 0;
        for (int milli = 0; milli < 4000; milli++) {
            Optional<EndpointId> spilled = fixture.reserve();
            if (spilled.isPresent()) {
                sent++;
                fixture.endTask(spilled.get(), SendResult.REFUSED_BUSY);
            }
            fixture.advance(Duration.ofMillis(1));
        }
        assertTrue(sent >= 8 && sent <= 14, "sent " + sent);
    }
}
