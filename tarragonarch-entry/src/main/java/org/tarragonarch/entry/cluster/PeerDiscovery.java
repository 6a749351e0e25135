package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.cluster.Coordinator;
import org.tarragonarch.core.cluster.Discovery;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.task.Timers;

/** Locates the other nodes and determines when enough neighbours are known to claim shards. */
final class PeerDiscovery {
    /** The longest time for which a node waits for the directory; after this it claims shards without it. */
    private static final long MAX_DISCOVERY_MILLIS = 1_500;

    private final Member own;
    private final PeerExchange exchange;
    private final Coordinator coordinator;
    private final Timers timers;
    private final NodeDirectory directory;
    private final long startedAtMillis;
    private long refreshedAtMillis;

    PeerDiscovery(
            Member own,
            RowStore store,
            PeerExchange exchange,
            Coordinator coordinator,
            Timers timers,
            DecisionLog log) {
        this.own = own;
        this.exchange = exchange;
        this.coordinator = coordinator;
        this.timers = timers;
        this.directory = new NodeDirectory(store, timers, own, this::located, log);
        this.startedAtMillis = timers.nowMillis();
    }

    /** Starts to locate the other nodes. */
    void start() {
        directory.start();
    }

    /** Adds the nodes that a peer reported. */
    void addNodes(ImmutableList<Member> nodes) {
        directory.addNodes(nodes);
    }

    /** Returns whether the addresses of the other nodes are known. */
    boolean isDirectoryComplete() {
        return directory.isComplete();
    }

    /** Returns whether this node may claim shards: every holder is known, or the time to learn of more has passed. */
    boolean canClaimShards() {
        long now = timers.nowMillis();
        if (!directory.isComplete()) {
            return now - startedAtMillis >= MAX_DISCOVERY_MILLIS;
        }
        ImmutableList<Member> located = exchange.locatedIn(coordinator.neighbourDomains());
        return now - directory.completeAtMillis() >= Discovery.claimDelayMillis(own, located)
                || Discovery.isComplete(own, located, coordinator.reachableNeighbours());
    }

    /** Rereads the directory periodically while this node holds a shard; must be called a few times a second. */
    void refresh() {
        long now = timers.nowMillis();
        if (coordinator.heldShardCount() > 0 && now - refreshedAtMillis >= PeerTable.DISTANT_PERIOD_MILLIS) {
            refreshedAtMillis = now;
            directory.refresh();
        }
    }

    /** Sends a status to a newly located neighbour. A node that holds a shard sends its status to all nodes anyway. */
    private void located(Member member) {
        exchange.located(member);
        if (coordinator.heldShardCount() == 0 && coordinator.neighbourDomains().contains(member.domain())) {
            exchange.sendStatus(member.node(), coordinator.status());
        }
    }
}
