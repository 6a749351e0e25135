package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.FencingToken;
import org.testng.annotations.Test;

/** Use of the shards of other holders. */
public final class RemoteUsageTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final int LONG = 2;

    /** Guards against the use of an unreachable holder that is counted indefinitely from its last status. */
    @Test
    public void testByPriority_statusOlderThanOneSecondIsIgnored() {
        HeldShard held =
                new HeldShard(HOBART, FencingToken.of(7, "10.0.0.9"), 0, ImmutableList.of(new ShareUse(LONG, 96_000)));
        RemoteUsage usage = new RemoteUsage();
        usage.statusReceived(
                new NodeStatus(
                        NodeId.of("a"),
                        HOBART,
                        new Address("10.0.0.9", 7_000),
                        360,
                        false,
                        false,
                        1,
                        DrainedDomains.UNREAD,
                        ImmutableList.of(held)),
                5_000);
        assertEquals(usage.byPriority(6_000), ImmutableMap.of(LONG, 96_000L));
        assertEquals(usage.byPriority(6_001), ImmutableMap.of());
    }
}
