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

/** A store of one table on virtual time that can fail in several ways and come back. */
final class FailingStore implements RowStore {
    /** From a call to its answer, at a store that is well. */
    private static final long ANSWER_MILLIS = 10;

    /** How long a caller waits beyond what it lets the store wait, as the client of the store does. */
    private static final long CALLER_PATIENCE_MILLIS = 1_000;

    private final VirtualTimers timers;
    private final List<Call> underWay = new ArrayList<>();
    private final List<StoreRow> rows = new ArrayList<>();
    private final List<Long> versions = new ArrayList<>();
    private Failure failure = Failure.NONE;
    private long version;

    FailingStore(VirtualTimers timers) {
        this.timers = timers;
    }

    /** What becomes of calls. */
    enum Failure {
        /** They are answered. */
        NONE,
        /** They are taken and never answered, and those that wait here are forgotten. */
        SILENT,
        /** They are turned away at once, and those that wait here are forgotten without a word. */
        BUSY,
        /** Their connections are reset, also of those that wait here. */
        RESET
    }

    /** Fails from now on, or no longer. */
    void fail(Failure how) {
        failure = how;
        if (how == Failure.SILENT || how == Failure.BUSY) {
            forgetWaiting();
        } else if (how == Failure.RESET) {
            ImmutableList<Call> cut = ImmutableList.copyOf(underWay);
            underWay.clear();
            cut.forEach(call -> call.end(Reply.of(StoreResult.UNKNOWN)));
        }
    }

    /** Forgets the calls that wait, as happens when their connections go silent; later ones are answered. */
    void forgetWaiting() {
        underWay.clear();
    }

    /** Writes a row. */
    void write(String key) {
        version++;
        rows.add(new StoreRow(key, new byte[0], false));
        versions.add(version);
        ImmutableList.copyOf(underWay).forEach(this::answerIfNews);
    }

    @Override
    public void read(StoreTable table, Consumer<Reply> reply) {
        take(new Call(0, true, reply), 0);
    }

    @Override
    public void follow(StoreTable table, long afterVersion, long waitMillis, Consumer<Reply> reply) {
        take(new Call(afterVersion, false, reply), waitMillis);
    }

    @Override
    public void put(StoreTable table, String key, byte[] value, Consumer<Reply> reply) {
        throw new AssertionError("a follower writes nothing");
    }

    private void take(Call call, long waitMillis) {
        timers.schedule(waitMillis + CALLER_PATIENCE_MILLIS, () -> call.end(Reply.of(StoreResult.UNKNOWN)));
        switch (failure) {
            case NONE -> {
                underWay.add(call);
                timers.schedule(ANSWER_MILLIS / 2, () -> answerIfNews(call));
                timers.schedule(waitMillis + ANSWER_MILLIS / 2, () -> answer(call));
            }
            case BUSY -> timers.schedule(ANSWER_MILLIS, () -> call.end(Reply.of(StoreResult.TURNED_AWAY)));
            case RESET -> timers.schedule(ANSWER_MILLIS, () -> call.end(Reply.of(StoreResult.UNKNOWN)));
            default -> {
                // Nothing ever comes.
            }
        }
    }

    private void answerIfNews(Call call) {
        if (version > call.after) {
            answer(call);
        }
    }

    private void answer(Call call) {
        if (!underWay.remove(call)) {
            return;
        }
        ImmutableList.Builder<StoreRow> news = ImmutableList.builder();
        for (int i = 0; i < rows.size(); i++) {
            if (call.whole || versions.get(i) > call.after) {
                news.add(rows.get(i));
            }
        }
        Reply reply = new Reply(StoreResult.DONE, Optional.of(new RowPage(news.build(), version)));
        timers.schedule(ANSWER_MILLIS / 2, () -> call.end(reply));
    }

    /** One call; its caller hears of it once. */
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

        void end(Reply how) {
            if (!ended) {
                ended = true;
                reply.accept(how);
            }
        }
    }
}
