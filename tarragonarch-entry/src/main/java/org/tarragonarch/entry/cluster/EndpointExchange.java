package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.core.cluster.EndpointListNeed;
import org.tarragonarch.core.shard.EndpointChanges;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.wire.EndpointChangesAsked;
import org.tarragonarch.wire.EndpointChangesGiven;

/**
 * Exchanges the entries of endpoints with peers, for nodes that cannot read them from the store.
 *
 * <p>Guards against a holder that the store turns away, and that goes on by what its endpoints said before: one may
 * have less capacity now, or leave.
 */
final class EndpointExchange {
    /** The age from which on a list that is read at the short interval is out of date. */
    private static final long MAX_AGE_MILLIS = 1_400;

    private static final long ASK_PERIOD_MILLIS = 900;

    /** How long a peer that was asked goes on to read the list at the short interval. */
    private static final long RELIED_ON_MILLIS = 3 * ASK_PERIOD_MILLIS;

    private final EndpointList endpoints;
    private final EndpointChanges changes = new EndpointChanges();
    private final Runnable listChanged;
    private final Timers timers;
    private final DecisionLog log;
    private long askedAtMillis = Long.MIN_VALUE / 2;
    private long reliedOnAtMillis = Long.MIN_VALUE / 2;
    private int questions;

    EndpointExchange(EndpointList endpoints, Runnable listChanged, Timers timers, DecisionLog log) {
        this.endpoints = endpoints;
        this.listChanged = listChanged;
        this.timers = timers;
        this.log = log;
    }

    /** Records that the whole list was read from the store as of a version. */
    void recordRead(long version) {
        changes.update(endpoints.all(), version);
    }

    /** Records that the changes up to a version were read from the store. */
    void recordFollowed(long version, boolean changed) {
        if (changed) {
            changes.update(endpoints.all(), version);
        } else {
            changes.confirm(version);
        }
    }

    /** Returns the need of this node and of the peers that ask it. */
    EndpointListNeed needWithPeers(EndpointListNeed own) {
        return timers.nowMillis() - reliedOnAtMillis < RELIED_ON_MILLIS ? own.atLeastOften() : own;
    }

    /**
     * Returns the peer to ask now, each in its turn, because some of them may be turned away too; empty if this node's
     * list is recent enough or was asked for just before.
     *
     * @param ageMillis the time since the store last answered
     */
    Optional<NodeId> peerToAsk(EndpointListNeed need, long ageMillis, ImmutableList<NodeStatus> reachable) {
        long now = timers.nowMillis();
        boolean isDue = need.isReadOften() && ageMillis > MAX_AGE_MILLIS && now - askedAtMillis >= ASK_PERIOD_MILLIS;
        if (!isDue || reachable.isEmpty()) {
            return Optional.empty();
        }
        askedAtMillis = now;
        questions++;
        return Optional.of(reachable.get(questions % reachable.size()).node());
    }

    /** Returns every listed endpoint. */
    ImmutableList<EndpointEntry> all() {
        return endpoints.all();
    }

    EndpointChangesAsked question() {
        return new EndpointChangesAsked(changes.version());
    }

    EndpointChangesGiven answer(EndpointChangesAsked asked) {
        reliedOnAtMillis = timers.nowMillis();
        return new EndpointChangesGiven(changes.version(), changes.since(asked.sinceVersion()));
    }

    /** Applies the entries of a peer whose list is of a later version than this node's. */
    void received(NodeId peer, EndpointChangesGiven given) {
        if (given.version() <= changes.version()) {
            return;
        }
        boolean changed = false;
        for (EndpointEntry entry : given.changed()) {
            changed |= endpoints.recordFromPeer(entry);
        }
        changes.update(endpoints.all(), given.version());
        if (changed) {
            log.write(
                    NodeEvent.ENDPOINTS_FROM_PEER,
                    "peer",
                    peer,
                    "changed",
                    given.changed().size());
            listChanged.run();
        }
    }

    /** Applies the whole list of a peer if this node has none. */
    void receivedAll(ImmutableList<EndpointEntry> given) {
        if (endpoints.isEmpty()) {
            given.forEach(endpoints::recordFromPeer);
            listChanged.run();
        }
    }
}
