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
import org.tarragonarch.core.placing.UnlimitedAuthority;
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

/** A node whose domain is a pool of its own, and that reads the list of endpoints as often as a holder does. */
final class ListReadingNode {
    static final String SERVICE = "board";

    /** The period of a node that holds a shard or is the successor of its holder. */
    private static final long LIST_PERIOD_MILLIS = 900;

    private static final int MILLI_CORES = 360;

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
     * @param store a live view of the entries in the store
     */
    ListReadingNode(String name, Map<EndpointId, EndpointEntry> store, EndpointOrders orders, VirtualTimers timers) {
        this.name = name;
        this.store = store;
        this.timers = timers;
        ShardPools pools = new ShardPools(ImmutableMap.of(HOBART, Region.of("south")), endpoints);
        HolderElection election = new HolderElection(NodeId.of(name), HOBART, "10.0.0.9", MILLI_CORES, peers, pools);
        endpoints.setServices(ImmutableSet.of(SERVICE));
        this.ownership = new ShardOwnership(
                pools,
                election,
                endpoints,
                PlacingSettings.of(1_000, 50),
                orders,
                timers,
                timers::nowMillis,
                new UnlimitedAuthority(),
                new Events());
    }

    /** Reads the list after this time, and every 0.9 s from then on. */
    void readListAfter(long millis) {
        timers.schedule(millis, this::readList);
    }

    private void readList() {
        if (dead) {
            return;
        }
        boolean changed = endpoints.replaceAll(ImmutableList.copyOf(store.values()), timers.nowMillis());
        if (changed) {
            ownership.endpointsChanged();
        }
        endpoints.recordCurrentAsOf(timers.nowMillis());
        readListAfter(LIST_PERIOD_MILLIS);
    }

    /** Claims or releases the shard as the election decides. */
    void review() {
        ownership.review();
    }

    boolean holdsShard() {
        return ownership.heldShards().contains(HOBART);
    }

    NodeStatus status() {
        return ElectionFixture.status(
                name, HOBART, MILLI_CORES, false, Iterables.toArray(ownership.held(), HeldShard.class));
    }

    void recordStatus(NodeStatus peer) {
        peers.recordStatus(peer, timers.nowMillis());
    }

    /** Records that the last connection to the peer broke. */
    void recordConnectionLost(ListReadingNode peer) {
        peers.recordConnectionLost(NodeId.of(peer.name));
    }

    void offer(Offer offer) {
        ownership.placer().orElseThrow().offer(offer);
    }

    /** Stops reading the list and sending orders. */
    void die() {
        dead = true;
        ownership.placer().orElseThrow().close();
    }

    List<Verdict> verdicts() {
        return verdicts;
    }

    /** Returns the grounds on which this node recovered jobs of an earlier holder. */
    List<RecoveryGround> grounds() {
        return grounds;
    }

    private final class Events implements ShardOwnershipListener {
        @Override
        public void allShardsReleased() {}

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
