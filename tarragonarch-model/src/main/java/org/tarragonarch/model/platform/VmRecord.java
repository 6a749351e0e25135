package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;

/**
 * One line of the platform's list of VMs.
 *
 * @param name the VM's name; a node's or an endpoint's id
 * @param role what the VM is for
 * @param domain the failure domain it stands in
 * @param address where it listens: an entry node's peer port, an endpoint's task port
 * @param state what the list says of it
 * @param services the services an endpoint runs tasks for; empty for an entry node
 * @param slots how many tasks an endpoint runs at once; 0 for an entry node
 */
public record VmRecord(
        String name,
        VmRole role,
        FailureDomain domain,
        Address address,
        VmState state,
        ImmutableSet<ServiceName> services,
        int slots) {
    /** Checks the parts. */
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
