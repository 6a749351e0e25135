package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * Who a node is among its peers.
 *
 * @param node its name
 * @param domain the failure domain it stands in
 * @param address where it takes frames
 * @param milliCores the processor time that it may use, in thousandths of a core
 */
public record Member(NodeId node, FailureDomain domain, Address address, int milliCores) {
    /** Checks the parts. */
    public Member {
        checkNotNull(node, "node");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(milliCores > 0, "milliCores %s is not positive", milliCores);
    }
}
