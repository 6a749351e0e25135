package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;

/** The VM records of nodes and endpoints, each with its own address, as the platform lists them. */
final class VmRecords {
    private final FakePlatform platform;
    private final Map<String, VmRecord> records = new HashMap<>();
    private int nextPort = 1;

    VmRecords(FakePlatform platform) {
        this.platform = platform;
    }

    /** Lists a node; a node that was listed before keeps its address. */
    VmRecord listNode(String name, String domain) {
        VmRecord vm = records.computeIfAbsent(name, key -> record(name, VmRole.ENTRY, domain, ImmutableSet.of(), 0));
        platform.listVm(vm);
        return vm;
    }

    /** Lists an endpoint with a new address. */
    VmRecord listEndpoint(String name, String domain, int slots) {
        VmRecord vm = record(name, VmRole.ENDPOINT, domain, ImmutableSet.of(SampleCatalog.SERVICE), slots);
        records.put(name, vm);
        platform.listVm(vm);
        return vm;
    }

    /** Lists a VM as leaving. */
    void listLeaving(String name) {
        VmRecord vm = records.get(name);
        platform.listVm(new VmRecord(
                vm.name(), vm.role(), vm.domain(), vm.address(), VmState.LEAVING, vm.services(), vm.slots()));
    }

    VmRecord get(String name) {
        return records.get(name);
    }

    private VmRecord record(String name, VmRole role, String domain, ImmutableSet<ServiceName> services, int slots) {
        Address address = new Address("127.0.0.1", nextPort++);
        return new VmRecord(name, role, FailureDomain.of(domain), address, VmState.LIVE, services, slots);
    }
}
