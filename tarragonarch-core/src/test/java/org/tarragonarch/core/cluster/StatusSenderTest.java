package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.Member;
import org.testng.annotations.Test;

/** Times and content of a node's statuses. */
public final class StatusSenderTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");

    private final VirtualTimers timers = new VirtualTimers();
    private final List<String> sent = new ArrayList<>();
    private final StatusSender sender = sender();

    private StatusSender sender() {
        ShardPools pools = new ShardPools(ImmutableMap.of(HOBART, Region.of("south")), new EndpointList());
        Member self = new Member(NodeId.of("a"), HOBART, new Address("10.0.0.1", 7_000), 360);
        PeerTable peers = new PeerTable();
        Heartbeats heartbeats = new Heartbeats(peers, pools, HOBART);
        ReceivedEchoes echoes = new ReceivedEchoes(self.node(), timers, timers::nowMillis, new ShardObserver() {});
        return new StatusSender(
                self, heartbeats, ImmutableList::of, peers, echoes, new RecordingPeerSender(sent), timers);
    }

    /** Guards against a second status in one period after a status was sent outside the period. */
    @Test
    public void testSendNow_restartsPeriod() {
        StatusSenderTest test = new StatusSenderTest();
        test.sender.sendNow(Heartbeats.Audience.ALL);
        test.sender.sendDue();
        assertEquals(test.sent, ImmutableList.of("status to all, 0 shards"));
        test.timers.advance(PeerTable.DISTANT_SILENCE_MILLIS);
        test.sender.sendDue();
        assertEquals(test.sent.size(), 2, test.sent.toString());
    }

    /** Guards against statuses that omit that the node is about to stop, or its drained domains. */
    @Test
    public void testStatus_containsCurrentState() {
        StatusSenderTest test = new StatusSenderTest();
        DrainedDomains drained = new DrainedDomains(7, ImmutableSet.of(HOBART));
        test.sender.markLeaving();
        test.sender.updateConfigurationVersion(3);
        test.sender.drained(drained);
        assertTrue(test.sender.status().leaving());
        assertEquals(test.sender.status().configurationVersion(), 3);
        assertEquals(test.sender.status().drained(), drained);
    }
}
