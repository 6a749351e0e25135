package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * Reads a table whole, then follows its changes for ever.
 *
 * <p>When the store forgets its history, the table is read whole again; when it does not answer, the same call is made
 * again after a growing pause.
 */
public final class TableFollower {
    /** Short against the two seconds in which a new configuration has to be in force. */
    private static final long FIRST_PAUSE_MILLIS = 200;

    /** Three calls every 0.8 s from each of 2,000 nodes are what the store carries when it comes back. */
    private static final long LONGEST_PAUSE_MILLIS = 800;

    /** How long the store may keep a follower waiting; short enough that a connection gone silent shows soon. */
    private static final long WAIT_MILLIS = 4_000;

    private final RowStore store;
    private final StoreTable table;
    private final Timers timers;
    private final TableListener listener;
    private final long periodMillis;
    private long version = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean away;
    private long awaySinceMillis;
    private long calledAtMillis;
    private long answeredAtMillis;

    /**
     * Creates a follower that has not begun.
     *
     * @param periodMillis the pause between two calls, in milliseconds; 0 to hear of each change at once
     */
    public TableFollower(RowStore store, StoreTable table, Timers timers, TableListener listener, long periodMillis) {
        this.store = checkNotNull(store, "store");
        this.table = checkNotNull(table, "table");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        this.periodMillis = periodMillis;
    }

    /** Begins with reading the whole table. */
    public void start() {
        answeredAtMillis = timers.nowMillis();
        readAll();
    }

    private void readAll() {
        version = -1;
        calledAtMillis = timers.nowMillis();
        store.read(table, this::readAnswered);
    }

    private void followLater() {
        if (periodMillis == 0) {
            follow();
        } else {
            timers.after(periodMillis, this::follow);
        }
    }

    private void follow() {
        calledAtMillis = timers.nowMillis();
        store.follow(table, version, WAIT_MILLIS, this::followAnswered);
    }

    private void readAnswered(RowStore.Reply reply) {
        if (reply.result() != StoreResult.DONE) {
            failed(reply.result());
            return;
        }
        succeeded();
        RowPage page = reply.page().orElseThrow();
        version = page.version();
        listener.replaced(page.rows());
        listener.current();
        followLater();
    }

    private void followAnswered(RowStore.Reply reply) {
        switch (reply.result()) {
            case DONE -> {
                succeeded();
                RowPage page = reply.page().orElseThrow();
                version = Math.max(version, page.version());
                if (!page.rows().isEmpty()) {
                    listener.changed(page.rows());
                }
                listener.current();
                followLater();
            }
            case HISTORY_GONE -> readAll();
            default -> failed(reply.result());
        }
    }

    private void succeeded() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        answeredAtMillis = timers.nowMillis();
        if (away) {
            away = false;
            listener.regained(timers.nowMillis() - awaySinceMillis);
        }
    }

    private void failed(StoreResult result) {
        long now = timers.nowMillis();
        FailedCall call = new FailedCall(result, now - calledAtMillis, now - answeredAtMillis);
        if (away) {
            listener.stillLost(call);
        } else {
            away = true;
            awaySinceMillis = now;
            listener.lost(call);
        }
        timers.after(pauseMillis, () -> {
            if (version < 0) {
                readAll();
            } else {
                follow();
            }
        });
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
