package org.tarragonarch.standin.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.platform.VmRecordJson;
import org.tarragonarch.standin.StandInControl;
import org.testng.annotations.Test;

public final class VmListTest {
    @Test
    public void testList_registeredLeavingFrozenAndLagging() throws Exception {
        VmRecord worker = new VmRecord(
                "hobart-w1",
                VmRole.ENDPOINT,
                FailureDomain.of("hobart"),
                Address.parse("127.0.0.1:7101"),
                VmState.LIVE,
                ImmutableSet.of(ServiceName.of("proof-board")),
                8);
        JsonNode line = VmRecordJson.write(worker);
        try (StandInPlatform platform = StandInPlatform.start("127.0.0.1", 0);
                PlatformClient client = PlatformClient.create(platform.address(), Duration.ofSeconds(2))) {
            StandInControl control = StandInControl.of(platform.address());
            control.post("/vms", line.toString());
            assertEquals(client.vmList().list(), ImmutableList.of(worker));
            assertEquals(client.vmList().list(), ImmutableList.of(worker), "read again by its tag");

            control.switchOnFault("vms-frozen");
            control.post("/vms/hobart-w1/leaving", "");
            assertEquals(client.vmList().list().get(0).state(), VmState.LIVE);

            control.clearFaults();
            assertEquals(client.vmList().list().get(0).state(), VmState.LEAVING);

            control.switchOnFault("vms-lag?ms=3600000");
            assertTrue(client.vmList().list().isEmpty());
        }
    }
}
