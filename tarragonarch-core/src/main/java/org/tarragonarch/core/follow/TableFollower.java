package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * Reads a whole table, then follows its changes indefinitely.
 *
 * <p>If the store no longer has the history since the last answer, the whole table is read again. A failed call is
 * repeated after an increasing pause.
 *
 * <p>A call lost in a store or connection that went silent looks like one waiting for a change, and hides all changes
 * until it times out. Two rules limit that time. The store must answer within {@link FollowPace#waitMillis} even if
 * nothing changed. After a failed call the store must answer at once until a call succeeds, so that the first call to
 * reach a recovered store shows the recovery, at the latest after the timeout of the call before it.
 */
public final class TableFollower {
    /**
     * The time from the start of the first failed call to the next call, in milliseconds; short compared with the two
     * seconds within which a new configuration must be in force. A call that took longer is repeated at once.
     */
    private static final long FIRST_PAUSE_MILLIS = 200;

    /** The longest pause; a recovering store can serve three calls every 0.8 s from each of 2,000 nodes. */
    private static final long LONGEST_PAUSE_MILLIS = 800;

    private final RowStore store;
    private final StoreTable table;
    private final Timers timers;
    private final TableListener listener;
    private FollowPace pace;
    private Optional<Timers.Handle> nextCall = Optional.empty();
    private long version = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean unreachable;
    private long unreachableSinceMillis;
    private long calledAtMillis;
    private long waitMillis;
    private long answeredAtMillis;

    /** Creates a follower that makes no call until it is started. */
    public TableFollower(RowStore store, StoreTable table, Timers timers, TableListener listener, FollowPace pace) {
        this.store = checkNotNull(store, "store");
        this.table = checkNotNull(table, "table");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        this.pace = checkNotNull(pace, "pace");
    }

    /** Starts by reading the whole table. */
    public void start() {
        answeredAtMillis = timers.nowMillis();
        readAll();
    }

    /**
     * Changes the pace; a call that is overdue under the new pace is made at once.
     *
     * <p>Used where an up-to-date table is needed only at some times.
     */
    public void changePace(FollowPace next) {
        if (next.equals(pace)) {
            return;
        }
        pace = next;
        if (nextCall.isPresent()) {
            nextCall.get().cancel();
            followLater();
        }
    }

    /** Asks for changes at once, unless a call is pending. */
    public void followNow() {
        if (nextCall.isPresent()) {
            nextCall.get().cancel();
            follow();
        }
    }

    private void readAll() {
        version = -1;
        calledAtMillis = timers.nowMillis();
        store.read(table, this::readAnswered);
    }

    private void followLater() {
        long dueInMillis = answeredAtMillis + pace.periodMillis() - timers.nowMillis();
        if (dueInMillis <= 0) {
            follow();
        } else {
            nextCall = Optional.of(timers.schedule(dueInMillis, this::follow));
        }
    }

    private void follow() {
        nextCall = Optional.empty();
        calledAtMillis = timers.nowMillis();
        waitMillis = unreachable ? 0 : pace.waitMillis();
        store.follow(table, version, waitMillis, this::followAnswered);
    }

    private void readAnswered(RowStore.Reply reply) {
        if (reply.result() != StoreResult.DONE) {
            failed(reply.result());
            return;
        }
        RowPage page = reply.page().orElseThrow();
        process(page.version(), calledAtMillis, () -> listener.tableReplaced(page));
    }

    private void followAnswered(RowStore.Reply reply) {
        switch (reply.result()) {
            case DONE -> {
                RowPage page = reply.page().orElseThrow();
                process(Math.max(version, page.version()), asOf(page), () -> handOver(page));
            }
            case HISTORY_GONE -> readAll();
            default -> failed(reply.result());
        }
    }

    /**
     * Returns the latest time at which an answer was certainly complete.
     *
     * <p>An answer may be delayed on the way, so it is known only to have been written after the call was sent. If it
     * has no rows and the wait is over, the store waited until the end of that time.
     */
    private long asOf(RowPage page) {
        long waitedUntil = calledAtMillis + waitMillis;
        boolean waitedWithoutChange = page.rows().isEmpty() && timers.nowMillis() >= waitedUntil;
        return waitedWithoutChange ? waitedUntil : calledAtMillis;
    }

    private void handOver(RowPage page) {
        if (!page.rows().isEmpty()) {
            listener.rowsChanged(page);
        }
    }

    /**
     * Passes an answer to the listener and schedules the next call.
     *
     * <p>If the listener throws, the whole table is read again, and the table does not count as current until that
     * succeeds. Otherwise no further call would be made, and the node would silently keep outdated rows until its next
     * start.
     */
    private void process(long newVersion, long asOf, Runnable handOver) {
        succeeded();
        try {
            handOver.run();
        } catch (RuntimeException e) {
            listener.rowsUnusable(e);
            timers.schedule(LONGEST_PAUSE_MILLIS, this::readAll);
            return;
        }
        version = newVersion;
        listener.currentAsOf(asOf);
        followLater();
    }

    private void succeeded() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        answeredAtMillis = timers.nowMillis();
        if (unreachable) {
            unreachable = false;
            listener.storeRegained(timers.nowMillis() - unreachableSinceMillis);
        }
    }

    private void failed(StoreResult result) {
        long now = timers.nowMillis();
        FailedCall call = new FailedCall(result, now - calledAtMillis, now - answeredAtMillis);
        if (unreachable) {
            listener.storeStillLost(call);
        } else {
            unreachable = true;
            unreachableSinceMillis = now;
            listener.storeLost(call);
        }
        timers.schedule(Math.max(0, pauseMillis - call.tookMillis()), () -> {
            if (version < 0) {
                readAll();
            } else {
                follow();
            }
        });
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
