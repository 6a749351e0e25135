package org.tarragonarch.core.follow;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.store.RowPage;
import org.tarragonarch.model.store.RowStore;
import org.tarragonarch.model.store.StoreResult;
import org.tarragonarch.model.store.StoreRow;
import org.tarragonarch.model.store.StoreTable;

/** A store of one table on virtual time that can fail in several ways and recover. */
final class FailingStore implements RowStore {
    /** The time from a call to its answer, in milliseconds, if the store does not fail. */
    private static final long ANSWER_MILLIS = 10;

    /** The timeout of a call beyond the time that the store may wait, as in the client of the real store. */
    private static final long CALLER_PATIENCE_MILLIS = 1_000;

    private final VirtualTimers timers;
    private final List<Call> waiting = new ArrayList<>();
    private final List<StoreRow> rows = new ArrayList<>();
    private final List<Long> versions = new ArrayList<>();
    private Failure failure = Failure.NONE;
    private long version;

    FailingStore(VirtualTimers timers) {
        this.timers = timers;
    }

    /** The ways in which the store fails. */
    enum Failure {
        /** Calls are answered. */
        NONE,
        /** Calls are accepted and never answered, and waiting calls are dropped. */
        SILENT,
        /** Calls are rejected at once, and waiting calls are dropped without an answer. */
        TURNED_AWAY,
        /** The connections of new and waiting calls are reset. */
        RESET
    }

    /** Sets how the store fails from now on. */
    void fail(Failure how) {
        failure = how;
        if (how == Failure.SILENT || how == Failure.TURNED_AWAY) {
            dropWaitingCalls();
        } else if (how == Failure.RESET) {
            ImmutableList<Call> broken = ImmutableList.copyOf(waiting);
            waiting.clear();
            broken.forEach(call -> call.end(Reply.of(StoreResult.UNKNOWN)));
        }
    }

    /** Drops the waiting calls without an answer, as when their connections go silent. */
    void dropWaitingCalls() {
        waiting.clear();
    }

    /** Writes an empty row and answers the waiting calls. */
    void write(String key) {
        version++;
        rows.add(new StoreRow(key, new byte[0], false));
        versions.add(version);
        ImmutableList.copyOf(waiting).forEach(this::answerIfChanged);
    }

    @Override
    public void read(StoreTable table, Consumer<Reply> reply) {
        process(new Call(0, true, reply), 0);
    }

    @Override
    public void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply) {
        process(new Call(afterVersion, false, reply), waitMillis);
    }

    @Override
    public void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply) {
        throw new AssertionError("a follower does not write");
    }

    private void process(Call call, long waitMillis) {
        timers.schedule(waitMillis + CALLER_PATIENCE_MILLIS, () -> call.end(Reply.of(StoreResult.UNKNOWN)));
        switch (failure) {
            case NONE -> {
                waiting.add(call);
                timers.schedule(ANSWER_MILLIS / 2, () -> answerIfChanged(call));
                timers.schedule(waitMillis + ANSWER_MILLIS / 2, () -> answer(call));
            }
            case TURNED_AWAY -> timers.schedule(ANSWER_MILLIS, () -> call.end(Reply.of(StoreResult.TURNED_AWAY)));
            case RESET -> timers.schedule(ANSWER_MILLIS, () -> call.end(Reply.of(StoreResult.UNKNOWN)));
            default -> {
                // The call is never answered.
            }
        }
    }

    private void answerIfChanged(Call call) {
        if (version > call.after) {
            answer(call);
        }
    }

    private void answer(Call call) {
        if (!waiting.remove(call)) {
            return;
        }
        ImmutableList.Builder<StoreRow> changed = ImmutableList.builder();
        for (int i = 0; i < rows.size(); i++) {
            if (call.whole || versions.get(i) > call.after) {
                changed.add(rows.get(i));
            }
        }
        Reply reply = new Reply(StoreResult.DONE, Optional.of(new RowPage(changed.build(), version)));
        timers.schedule(ANSWER_MILLIS / 2, () -> call.end(reply));
    }

    /** A call, whose caller gets one reply at most. */
    private static final class Call {
        private final long after;
        private final boolean whole;
        private final Consumer<Reply> reply;
        private boolean ended;

        Call(long after, boolean whole, Consumer<Reply> reply) {
            this.after = after;
            this.whole = whole;
            this.reply = reply;
        }

        void end(Reply answer) {
            if (!ended) {
                ended = true;
                reply.accept(answer);
            }
        }
    }
}
