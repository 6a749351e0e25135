package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;

/** Two failure domains, and statuses of nodes in them. */
final class ElectionFixture {
    static final FailureDomain HOBART = FailureDomain.of("hobart");
    static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");

    private ElectionFixture() {}

    static NodeStatus status(String node, FailureDomain domain, int milliCores, boolean leaving, HeldShard... held) {
        return new NodeStatus(
                NodeId.of(node),
                domain,
                new Address("10.0.0.9", 7_000),
                milliCores,
                leaving,
                false,
                1,
                DrainedDomains.UNREAD,
                ImmutableList.copyOf(held));
    }

    static HeldShard heldShard(FailureDomain shard, long term) {
        return new HeldShard(shard, FencingToken.of(term, "10.0.0.9"), 0);
    }
}
