package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * The identity of a node and where its peers reach it.
 *
 * @param node the name of the node
 * @param domain the failure domain of the node
 * @param address the address at which the node receives frames
 * @param milliCores the processor time that the node may use, in thousandths of a core
 */
public record Member(NodeId node, FailureDomain domain, Address address, int milliCores) {
    /** Checks that no component is null and the processor time is positive. */
    public Member {
        checkNotNull(node, "node");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(milliCores > 0, "milliCores %s is not positive", milliCores);
    }
}
