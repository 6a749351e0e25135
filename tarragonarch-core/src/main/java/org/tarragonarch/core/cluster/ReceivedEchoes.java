package org.tarragonarch.core.cluster;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.tarragonarch.core.placing.OriginAuthority;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.Timers;

/**
 * What the peers have received of this node's statuses, which gives this node authority over the jobs of these peers.
 *
 * <p>An origin takes this node for lost by the time of the last status that it has received. This node cannot infer
 * that time from what it receives itself: a message may have waited in a connection, or come through while this node's
 * own messages are lost. So each status is numbered, and peers return the number of the last one that they received.
 *
 * <p>The steady clock stands still while a VM is suspended. The time of day, or the clock of an endpoint, shows that.
 */
final class ReceivedEchoes implements OriginAuthority {
    /** How long an origin waits for the next status before it takes this node for lost, in milliseconds. */
    static final long AUTHORITY_MILLIS = PeerTable.SILENCE_MILLIS;

    /**
     * How far the leases of runs are extended after the sending of the last status that their origin has returned, in
     * milliseconds; shorter than the pause after which a client submits a job again. A run that starts on an endpoint
     * with a longer lease has that lease.
     */
    static final long MAX_RUN_MILLIS = 1_250;

    /** A node sends fewer than one status in this time on average, so that numbers of different processes differ. */
    private static final long NUMBER_UNIT_MILLIS = 10;

    /** Two measurements of a stop of the clock that differ by no more than this may be of the same stop. */
    private static final long SEPARATE_STOP_MILLIS = 30;

    /** Covers the time between the readings of two clocks. */
    private static final long READING_TOLERANCE_MILLIS = 20;

    private final NodeId self;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final ShardObserver observer;
    private final Deque<SentStatus> sent = new ArrayDeque<>();
    private final Map<NodeId, Long> confirmedAtMillis = new HashMap<>();
    private long lastNumber;
    private long reviewedAtMillis;
    private boolean hasPaused;
    private long wallOffsetMillis;
    private long stoppedMillis;
    private long lastStopAtMillis = Long.MIN_VALUE;
    private long lastStopMillis;

    /**
     * Creates the echoes of a node that has sent nothing.
     *
     * @param wallMillis the time of day in milliseconds since 1970, from which the statuses are numbered; it counts the
     *     time for which a VM is suspended
     */
    ReceivedEchoes(NodeId self, Timers timers, LongSupplier wallMillis, ShardObserver observer) {
        this.self = checkNotNull(self, "self");
        this.timers = checkNotNull(timers, "timers");
        this.wallMillis = checkNotNull(wallMillis, "wallMillis");
        this.observer = checkNotNull(observer, "observer");
        this.reviewedAtMillis = timers.nowMillis();
        this.wallOffsetMillis = wallMillis.getAsLong() - reviewedAtMillis;
        this.lastNumber = wallMillis.getAsLong() / NUMBER_UNIT_MILLIS;
    }

    /** Returns the time in milliseconds on a clock that also counts the time for which the steady clock stood still. */
    private long nowMillis() {
        long steady = timers.nowMillis();
        long offset = wallMillis.getAsLong() - steady;
        long stopped = offset - wallOffsetMillis;
        wallOffsetMillis = offset;
        if (stopped > READING_TOLERANCE_MILLIS) {
            recordStop(stopped, stopped);
        }
        return steady + stoppedMillis;
    }

    private void recordStop(long millis, long notYetCountedMillis) {
        lastStopAtMillis = timers.nowMillis();
        lastStopMillis = millis;
        stoppedMillis += notYetCountedMillis;
        observer.clockStoodStill(millis);
    }

    /** Returns the number of a status that is about to be sent. */
    StatusNumber next() {
        long now = nowMillis();
        while (!sent.isEmpty() && sent.getFirst().atMillis() + AUTHORITY_MILLIS < now) {
            sent.removeFirst();
        }
        lastNumber++;
        StatusNumber number = StatusNumber.ofLowBits(lastNumber);
        sent.addLast(new SentStatus(number, now));
        return number;
    }

    /** Records what a peer's status says of the last status that it has received from this node. */
    void received(NodeStatus status) {
        received(status.node(), status.receivedFrom(self));
    }

    /** Records the number of the last status that a peer has received; one that is no longer known has no effect. */
    void received(NodeId peer, StatusNumber number) {
        for (SentStatus status : sent) {
            if (status.number().equals(number)) {
                confirmedAtMillis.merge(peer, status.atMillis(), Math::max);
                return;
            }
        }
    }

    /**
     * Confirms the authority over this node's own jobs; to be called a few times a second. Returns whether it begins
     * again after a pause.
     *
     * <p>Guards against a task that runs twice after a pause of this process: clients may have left and submitted their
     * jobs elsewhere, and what arrived meanwhile is read before the next call.
     */
    boolean reviewed() {
        long now = nowMillis();
        boolean hadPaused = hasPaused;
        hasPaused = now - reviewedAtMillis > AUTHORITY_MILLIS;
        reviewedAtMillis = now;
        return hadPaused && !hasPaused;
    }

    @Override
    public long runsEndAtMillis(NodeId origin) {
        return endsAtMillis(origin) + MAX_RUN_MILLIS - AUTHORITY_MILLIS;
    }

    @Override
    public long endsAtMillis(NodeId origin) {
        // Counts a stop of the clock that nothing has shown yet.
        nowMillis();
        if (origin.equals(self)) {
            return hasPaused ? NEVER : reviewedAtMillis + AUTHORITY_MILLIS - stoppedMillis;
        }
        Long confirmed = confirmedAtMillis.get(origin);
        return confirmed == null ? NEVER : confirmed + AUTHORITY_MILLIS - stoppedMillis;
    }

    @Override
    public void clockStoodStill(long sinceMillis, long millis) {
        nowMillis();
        long known = sinceMillis <= lastStopAtMillis ? lastStopMillis : 0;
        if (millis > known + SEPARATE_STOP_MILLIS) {
            recordStop(millis, millis - known);
        }
    }

    /** A status that was sent, and when, on the clock that also counts suspensions. */
    private record SentStatus(StatusNumber number, long atMillis) {}
}
