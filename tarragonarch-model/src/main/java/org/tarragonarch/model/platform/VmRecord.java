package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;

/**
 * An entry of the platform's list of VMs.
 *
 * @param name the VM's name; a node's or an endpoint's id
 * @param role what the VM runs
 * @param domain the failure domain of the VM
 * @param address the address of an entry node's peer port or an endpoint's task port
 * @param state the state in the list
 * @param services the services that an endpoint runs tasks for; empty for an entry node
 * @param slots the number of tasks that an endpoint runs at once; 0 for an entry node
 */
public record VmRecord(
        String name,
        VmRole role,
        FailureDomain domain,
        Address address,
        VmState state,
        ImmutableSet<ServiceName> services,
        int slots) {
    /** Checks that no component is null and the number of slots is not negative. */
    public VmRecord {
        checkNotNull(name, "name");
        checkNotNull(role, "role");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkNotNull(state, "state");
        checkNotNull(services, "services");
        checkArgument(slots >= 0, "slots %s of %s is negative", slots, name);
    }
}
