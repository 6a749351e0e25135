package org.tarragonarch.core.shard;

import static org.tarragonarch.core.shard.ElectionFixture.HOBART;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.placing.RecoveryGround;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;

/** A node of a domain that is a pool of its own; it reads the list of endpoints as often as a holder does. */
final class ListReadingNode {
    static final String SERVICE = "board";

    /** The pace of a node that holds a shard or would be the next to. */
    private static final long LIST_PERIOD_MILLIS = 900;

    private static final int CORES = 360;

    private final String name;
    private final Map<EndpointId, EndpointEntry> store;
    private final VirtualTimers timers;
    private final EndpointList endpoints = new EndpointList();
    private final PeerTable peers = new PeerTable();
    private final ShardOwnership ownership;
    private final List<Verdict> verdicts = new ArrayList<>();
    private final List<RecoveryGround> grounds = new ArrayList<>();
    private boolean dead;

    /**
     * Creates a node that has not read the list.
     *
     * @param store the entries that the store has, as they are at each reading
     */
    ListReadingNode(String name, Map<EndpointId, EndpointEntry> store, EndpointOrders orders, VirtualTimers timers) {
        this.name = name;
        this.store = store;
        this.timers = timers;
        ShardPools pools = new ShardPools(ImmutableMap.of(HOBART, Region.of("south")), endpoints);
        HolderElection election = new HolderElection(NodeId.of(name), HOBART, "10.0.0.9", CORES, peers, pools);
        endpoints.served(ImmutableSet.of(SERVICE));
        this.ownership = new ShardOwnership(
                pools,
                election,
                endpoints,
                PlacingSettings.of(1_000, 50),
                orders,
                timers,
                timers::nowMillis,
                new Events());
    }

    /** Reads the list after this long, and from then on every 0.9 s. */
    void readListAfter(long millis) {
        timers.schedule(millis, this::readList);
    }

    private void readList() {
        if (dead) {
            return;
        }
        boolean changed = endpoints.replaced(ImmutableList.copyOf(store.values()), timers.nowMillis());
        if (changed) {
            ownership.endpointsChanged();
        }
        endpoints.currentAsOf(timers.nowMillis());
        readListAfter(LIST_PERIOD_MILLIS);
    }

    /** Claims the shard if the election says so. */
    void review() {
        ownership.review();
    }

    boolean holdsShard() {
        return ownership.heldShards().contains(HOBART);
    }

    NodeStatus status() {
        return ElectionFixture.status(name, HOBART, CORES, false, Iterables.toArray(ownership.held(), HeldShard.class));
    }

    void heard(NodeStatus peer) {
        peers.received(peer, timers.nowMillis());
    }

    /** The last connection with the peer broke. */
    void lost(ListReadingNode peer) {
        peers.lost(NodeId.of(peer.name));
    }

    void offer(Offer offer) {
        ownership.placer().orElseThrow().offer(offer);
    }

    /** Reads nothing and gives no orders from now on. */
    void die() {
        dead = true;
        ownership.placer().orElseThrow().close();
    }

    List<Verdict> verdicts() {
        return verdicts;
    }

    /** Returns on what grounds this node went on with jobs of an earlier holder. */
    List<RecoveryGround> grounds() {
        return grounds;
    }

    private final class Events implements ShardEvents {
        @Override
        public void releasedAll() {}

        @Override
        public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
            verdicts.add(verdict);
        }

        @Override
        public void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {
            grounds.add(ground);
        }
    }
}
