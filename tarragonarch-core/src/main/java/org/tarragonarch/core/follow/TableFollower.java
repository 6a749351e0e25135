package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * Reads a table whole, then follows its changes indefinitely.
 *
 * <p>When the store forgets its history, the table is read whole again; when it does not answer, the same call is made
 * again after a growing pause.
 *
 * <p>Guards against a call that a silent store, or a connection that has gone silent, swallowed: it looks the same as
 * one that waits at a store that is well, and whatever changes meanwhile is not seen. Two things bound how long
 * that goes unnoticed. The store has to answer within {@link FollowPace#waitMillis} even if nothing has changed. And
 * after a call that failed the next ones do not wait at all, until one is answered: a store that is back shows so by
 * the first call that reaches it, at the latest when the call before has timed out.
 */
public final class TableFollower {
    /**
     * From a call that failed to the next one, in milliseconds; short against the two seconds in which a new
     * configuration has to be in force. A call that has taken longer than this is followed by the next at once.
     */
    private static final long FIRST_PAUSE_MILLIS = 200;

    /** Three calls every 0.8 s from each of 2,000 nodes are what the store carries when it comes back. */
    private static final long LONGEST_PAUSE_MILLIS = 800;

    private final RowStore store;
    private final StoreTable table;
    private final Timers timers;
    private final TableListener listener;
    private FollowPace pace;
    private Optional<Timers.Handle> nextCall = Optional.empty();
    private long version = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean away;
    private long awaySinceMillis;
    private long calledAtMillis;
    private long waitMillis;
    private long answeredAtMillis;

    /** Creates a follower that has not begun. */
    public TableFollower(RowStore store, StoreTable table, Timers timers, TableListener listener, FollowPace pace) {
        this.store = checkNotNull(store, "store");
        this.table = checkNotNull(table, "table");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        this.pace = checkNotNull(pace, "pace");
    }

    /** Begins with reading the whole table. */
    public void start() {
        answeredAtMillis = timers.nowMillis();
        readAll();
    }

    /**
     * Changes the pace; a call that would be due already under the new one is made at once.
     *
     * <p>For a reader that needs the table up to date at some times only.
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

    /** Asks for changes at once, unless a call is under way. */
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
        waitMillis = away ? 0 : pace.waitMillis();
        store.follow(table, version, waitMillis, this::followAnswered);
    }

    private void readAnswered(RowStore.Reply reply) {
        if (reply.result() != StoreResult.DONE) {
            failed(reply.result());
            return;
        }
        RowPage page = reply.page().orElseThrow();
        take(page.version(), calledAtMillis, () -> listener.replaced(page));
    }

    private void followAnswered(RowStore.Reply reply) {
        switch (reply.result()) {
            case DONE -> {
                RowPage page = reply.page().orElseThrow();
                take(Math.max(version, page.version()), asOf(page), () -> handOver(page));
            }
            case HISTORY_GONE -> readAll();
            default -> failed(reply.result());
        }
    }

    /**
     * Returns as of when an answer is certainly complete: a call that waited in vain waited to its end.
     *
     * <p>Guards against an answer that was held up on the way and seems to be news of now: of any other, no more is
     * known than that it was written after the call had left.
     */
    private long asOf(RowPage page) {
        long waitedUntil = calledAtMillis + waitMillis;
        boolean waitedInVain = page.rows().isEmpty() && timers.nowMillis() >= waitedUntil;
        return waitedInVain ? waitedUntil : calledAtMillis;
    }

    private void handOver(RowPage page) {
        if (!page.rows().isEmpty()) {
            listener.changed(page);
        }
    }

    /**
     * Processes an answer and goes on.
     *
     * <p>Guards against rows that the listener breaks on: no further call would be made, and the node would keep what
     * it knew until its next start, without a word. The table is read whole again instead, and until that is taken
     * nothing counts as current.
     */
    private void take(long newVersion, long asOf, Runnable handOver) {
        succeeded();
        try {
            handOver.run();
        } catch (RuntimeException e) {
            listener.unusable(e);
            timers.schedule(LONGEST_PAUSE_MILLIS, this::readAll);
            return;
        }
        version = newVersion;
        listener.current(asOf);
        followLater();
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
