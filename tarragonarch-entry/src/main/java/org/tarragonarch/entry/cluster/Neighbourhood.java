package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.cluster.Coordinator;
import org.tarragonarch.core.cluster.Discovery;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.task.Timers;

/** Where the other nodes are, and whether enough of the neighbours are known to claim shards. */
final class Neighbourhood {
    /** How long a node tries to learn where its peers are, in milliseconds; with the store away it goes on alone. */
    private static final long LONGEST_DISCOVERY_MILLIS = 1_500;

    private final Member own;
    private final PeerExchange exchange;
    private final Coordinator coordinator;
    private final Timers timers;
    private final NodeDirectory directory;
    private final long startedAtMillis;
    private long refreshedAtMillis;

    Neighbourhood(
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

    /** Begins to look for the other nodes. */
    void find() {
        directory.start();
    }

    /** Records where a peer knows nodes to be. */
    void learned(ImmutableList<Member> nodes) {
        directory.learned(nodes);
    }

    /** Returns whether it is known where the other nodes are. */
    boolean isLocated() {
        return directory.complete();
    }

    /** Returns whether every holder is known, or nothing more is to be expected. */
    boolean isKnown() {
        long now = timers.nowMillis();
        if (!directory.complete()) {
            return now - startedAtMillis >= LONGEST_DISCOVERY_MILLIS;
        }
        ImmutableList<Member> located = exchange.locatedIn(coordinator.neighbourDomains());
        return now - directory.completeAtMillis() >= Discovery.claimDelayMillis(own, located)
                || Discovery.isComplete(own, located, coordinator.reachableNeighbours());
    }

    /** Reads the directory again now and then while this node holds a shard; to be called a few times a second. */
    void refresh() {
        long now = timers.nowMillis();
        if (coordinator.heldShardCount() > 0 && now - refreshedAtMillis >= PeerTable.DISTANT_PERIOD_MILLIS) {
            refreshedAtMillis = now;
            directory.refresh();
        }
    }

    /** Greets a neighbour that was read of; once this node holds a shard its heartbeats reach every located node. */
    private void located(Member member) {
        exchange.located(member);
        if (coordinator.heldShardCount() == 0 && coordinator.neighbourDomains().contains(member.domain())) {
            exchange.sendStatus(member.node(), coordinator.status());
        }
    }
}
