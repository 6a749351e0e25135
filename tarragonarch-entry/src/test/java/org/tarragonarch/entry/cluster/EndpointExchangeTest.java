package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Optional;
import org.tarragonarch.core.cluster.EndpointListNeed;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.wire.EndpointChangesAsked;
import org.tarragonarch.wire.EndpointChangesGiven;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exchange of the list of endpoints between a node without the store and its peers. */
public final class EndpointExchangeTest {
    private static final NodeId PEER = NodeId.of("a");
    private static final long OUT_OF_DATE_MILLIS = 1_500;

    private final SettableTimers timers = new SettableTimers();
    private EndpointList endpoints;
    private EndpointExchange exchange;

    @BeforeMethod
    public void create() {
        endpoints = new EndpointList();
        DecisionLog log = new DecisionLog("n", new PrintStream(new ByteArrayOutputStream()));
        exchange = new EndpointExchange(endpoints, () -> {}, timers, log);
    }

    private static EndpointEntry entry(long milliCores) {
        return new EndpointEntry(
                EndpointId.of("w-1"),
                "board",
                new Address("10.0.0.1", 80),
                FailureDomain.of("hobart"),
                false,
                new Resources(milliCores, 64, 0),
                false);
    }

    private static NodeStatus status(String node) {
        return new NodeStatus(
                NodeId.of(node),
                FailureDomain.of("hobart"),
                new Address("10.0.0.9", 7_000),
                750,
                false,
                false,
                1,
                DrainedDomains.UNREAD,
                ImmutableList.of());
    }

    /** Guards against a peer's question to which a node gives nothing because it had the entries from another peer. */
    @Test
    public void testAnswer_storeConfirmsEntriesOfPeer() {
        exchange.receivedAll(ImmutableList.of(entry(32_000)));
        endpoints.replaceAll(ImmutableList.of(entry(32_000)), timers.nowMillis());
        exchange.recordRead(7);
        EndpointChangesGiven answer = exchange.answer(new EndpointChangesAsked(5));
        assertEquals(answer, new EndpointChangesGiven(7, ImmutableList.of(entry(32_000))));
    }

    /** Guards against an older list of a peer that the store turns away too. */
    @Test
    public void testReceived_olderVersion() {
        endpoints.recordListed(entry(32_000), timers.nowMillis());
        exchange.recordRead(7);
        exchange.received(PEER, new EndpointChangesGiven(7, ImmutableList.of(entry(64_000))));
        assertEquals(endpoints.all(), ImmutableList.of(entry(32_000)));
        exchange.received(PEER, new EndpointChangesGiven(8, ImmutableList.of(entry(16_000))));
        assertEquals(endpoints.all(), ImmutableList.of(entry(16_000)));
        assertEquals(exchange.question(), new EndpointChangesAsked(8));
    }

    @Test
    public void testPeerToAsk_eachInItsTurn() {
        ImmutableList<NodeStatus> peers = ImmutableList.of(status("a"), status("b"));
        Optional<NodeId> first = exchange.peerToAsk(EndpointListNeed.OFTEN, OUT_OF_DATE_MILLIS, peers);
        assertEquals(exchange.peerToAsk(EndpointListNeed.OFTEN, OUT_OF_DATE_MILLIS, peers), Optional.empty());
        timers.advance(900);
        Optional<NodeId> second = exchange.peerToAsk(EndpointListNeed.OFTEN, OUT_OF_DATE_MILLIS, peers);
        assertEquals(ImmutableList.of(first.get(), second.get()), ImmutableList.of(NodeId.of("b"), NodeId.of("a")));
    }

    @Test
    public void testPeerToAsk_notNeeded() {
        ImmutableList<NodeStatus> peers = ImmutableList.of(status("a"));
        assertEquals(exchange.peerToAsk(EndpointListNeed.SELDOM, OUT_OF_DATE_MILLIS, peers), Optional.empty());
        assertEquals(exchange.peerToAsk(EndpointListNeed.OFTEN, 900, peers), Optional.empty());
        assertEquals(
                exchange.peerToAsk(EndpointListNeed.OFTEN, OUT_OF_DATE_MILLIS, ImmutableList.of()), Optional.empty());
    }

    /** Guards against a peer that is asked for its list and itself reads it only now and then. */
    @Test
    public void testNeedWithPeers_asked() {
        assertEquals(exchange.needWithPeers(EndpointListNeed.SELDOM), EndpointListNeed.SELDOM);
        exchange.answer(new EndpointChangesAsked(0));
        assertEquals(exchange.needWithPeers(EndpointListNeed.SELDOM), EndpointListNeed.OFTEN);
        timers.advance(2_700);
        assertEquals(exchange.needWithPeers(EndpointListNeed.SELDOM), EndpointListNeed.SELDOM);
    }
}
