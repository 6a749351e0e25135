package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tarragonarch.adapter.EndpointBody;
import org.tarragonarch.adapter.UnreadableBodyException;
import org.tarragonarch.core.cluster.EndpointListNeed;
import org.tarragonarch.core.follow.FailedCall;
import org.tarragonarch.core.follow.FollowPace;
import org.tarragonarch.core.follow.TableFollower;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.wire.Frame;

/** Copies the endpoint rows of the store into the endpoint list; skips and logs unreadable rows. */
final class EndpointRows extends LoggedTable {
    /**
     * The pace of a node that holds a shard or would be the next to hold one. Every endpoint rewrites its entry every
     * 1.5 s, so a notification of each change would cost a call for every heartbeat. A draining endpoint must receive
     * no new tasks 2 s after it reports the drain.
     */
    private static final FollowPace FREQUENT_PACE = FollowPace.periodic(900);

    /**
     * The pace of every other node. Entries expire after three heartbeats (4.5 s); with a shorter interval the node
     * notices an outage of the store before they expire, and keeps them.
     */
    private static final FollowPace INFREQUENT_PACE = FollowPace.periodic(3_600);

    /** How far the time of day of an endpoint's VM may be ahead of this node's, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 60_000;

    private final EndpointList endpoints;
    private final Runnable listChanged;
    private final EndpointExchange exchange;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final DecisionLog log;
    private final NodeMeters meters;
    private Optional<TableFollower> follower = Optional.empty();

    /**
     * Creates rows that are not read yet.
     *
     * @param wallMillis the time of day in milliseconds since 1970, to compare the start times of endpoints with
     */
    EndpointRows(
            EndpointList endpoints,
            Runnable listChanged,
            Timers timers,
            LongSupplier wallMillis,
            DecisionLog log,
            NodeMeters meters) {
        super(StoreTable.ENDPOINTS, timers, log, meters);
        this.meters = meters;
        this.endpoints = endpoints;
        this.listChanged = listChanged;
        this.exchange = new EndpointExchange(endpoints, listChanged, timers, log);
        this.timers = timers;
        this.wallMillis = wallMillis;
        this.log = log;
    }

    /** Starts reading the rows. */
    void follow(RowStore store) {
        TableFollower started = new TableFollower(store, StoreTable.ENDPOINTS, timers, this, FREQUENT_PACE);
        follower = Optional.of(started);
        started.start();
    }

    /** Returns the exchange of this list with peers. */
    EndpointExchange exchange() {
        return exchange;
    }

    /** Asks a peer for changed entries if this node needs the list often and the store has not given it for a while. */
    void askPeerIfOld(EndpointListNeed need, ImmutableList<NodeStatus> reachable, BiConsumer<NodeId, Frame> sender) {
        exchange.peerToAsk(need, sinceAnswerMillis(), reachable)
                .ifPresent(peer -> sender.accept(peer, exchange.question()));
    }

    /** Sets the pace of reads; if the list is needed now, reads at once unless a call is in progress. */
    void adjustReads(EndpointListNeed own) {
        EndpointListNeed need = exchange.needWithPeers(own);
        follower.ifPresent(started -> {
            started.changePace(need.isReadOften() ? FREQUENT_PACE : INFREQUENT_PACE);
            if (need == EndpointListNeed.NOW) {
                started.followNow();
            }
        });
    }

    @Override
    public void tableReplaced(RowPage page) {
        ImmutableList.Builder<EndpointEntry> entries = ImmutableList.builder();
        boolean changed = false;
        for (StoreRow row : page.rows()) {
            Optional<EndpointEntry> entry = read(row);
            entry.ifPresent(entries::add);
            changed |= entry.isEmpty() && id(row).map(this::overwritten).orElse(false);
        }
        changed |= endpoints.replaceAll(entries.build(), timers.nowMillis());
        exchange.recordRead(page.version());
        if (changed) {
            listChanged.run();
        }
    }

    @Override
    public void rowsChanged(RowPage page) {
        boolean changed = false;
        for (StoreRow row : page.rows()) {
            changed |= changed(row);
        }
        exchange.recordFollowed(page.version(), changed);
        if (changed) {
            listChanged.run();
        }
    }

    private boolean changed(StoreRow row) {
        Optional<EndpointId> id = id(row);
        if (id.isEmpty()) {
            return false;
        }
        if (row.deleted()) {
            return endpoints.recordUnlisted(id.get(), timers.nowMillis());
        }
        Optional<EndpointEntry> entry = read(row);
        return entry.isPresent() ? endpoints.recordListed(entry.get(), timers.nowMillis()) : overwritten(id.get());
    }

    private boolean overwritten(EndpointId id) {
        return endpoints.recordOverwritten(id, timers.nowMillis());
    }

    @Override
    public void currentAsOf(long asOfMillis) {
        endpoints.recordCurrentAsOf(asOfMillis);
        super.currentAsOf(asOfMillis);
    }

    @Override
    public void storeLost(FailedCall call) {
        endpoints.recordStoreLost();
        super.storeLost(call);
    }

    @Override
    public void storeRegained(long awayMillis) {
        endpoints.recordStoreRegained(timers.nowMillis());
        super.storeRegained(awayMillis);
    }

    private Optional<EndpointEntry> read(StoreRow row) {
        try {
            return Optional.of(withPossibleStart(EndpointBody.read(row.key(), row.value())));
        } catch (UnreadableBodyException e) {
            unreadable(row, e);
            return Optional.empty();
        }
    }

    /**
     * Returns the entry, without its start time if that is in the future.
     *
     * <p>Guards against an entry of another writer that would count as a later incarnation than the endpoint's own
     * entries until then.
     */
    private EndpointEntry withPossibleStart(EndpointEntry entry) {
        boolean isPossible =
                entry.incarnation().startedMillis() <= wallMillis.getAsLong() + MAX_CLOCK_DIFFERENCE_MILLIS;
        return isPossible ? entry : entry.withIncarnation(EndpointIncarnation.ofUnknownStart(entry.id()));
    }

    private Optional<EndpointId> id(StoreRow row) {
        try {
            return Optional.of(EndpointBody.readId(row.key()));
        } catch (UnreadableBodyException e) {
            unreadable(row, e);
            return Optional.empty();
        }
    }

    private void unreadable(StoreRow row, UnreadableBodyException cause) {
        meters.endpointRowUnreadable();
        log.write(NodeEvent.ENDPOINT_ROW_UNREADABLE, "endpoint", row.key(), "reason", cause.getMessage());
    }
}
