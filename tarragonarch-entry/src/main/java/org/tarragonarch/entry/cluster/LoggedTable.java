package org.tarragonarch.entry.cluster;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.core.follow.FailedCall;
import org.tarragonarch.core.follow.TableListener;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.store.StoreTable;
import org.tarragonarch.model.task.Timers;

/**
 * A listener to a table of the store that logs and counts failed calls and exposes the time since the last answer as a
 * metric.
 */
abstract class LoggedTable implements TableListener {
    private final StoreTable table;
    private final Timers timers;
    private final DecisionLog log;
    private final NodeMeters meters;
    private long answeredAtMillis;

    LoggedTable(StoreTable table, Timers timers, DecisionLog log, NodeMeters meters) {
        this.table = checkNotNull(table, "table");
        this.timers = checkNotNull(timers, "timers");
        this.log = checkNotNull(log, "log");
        this.meters = checkNotNull(meters, "meters");
        this.answeredAtMillis = timers.nowMillis();
        meters.watchStore(table, this::sinceAnswerMillis);
    }

    @Override
    public void currentAsOf(long asOfMillis) {
        answeredAtMillis = timers.nowMillis();
    }

    @Override
    public void rowsUnusable(RuntimeException cause) {
        log.write(NodeEvent.STORE_ROWS_UNUSABLE, "table", table, "reason", cause);
    }

    @Override
    public void storeLost(FailedCall call) {
        failed(NodeEvent.STORE_LOST, call);
    }

    @Override
    public void storeStillLost(FailedCall call) {
        failed(NodeEvent.STORE_CALL_FAILED, call);
    }

    @Override
    public void storeRegained(long awayMillis) {
        log.write(NodeEvent.STORE_REGAINED, "table", table, "away-ms", awayMillis);
    }

    private void failed(NodeEvent event, FailedCall call) {
        meters.storeCallFailed(table);
        log.write(
                event,
                "table",
                table,
                "result",
                call.result(),
                "took-ms",
                call.tookMillis(),
                "since-answer-ms",
                call.sinceAnswerMillis());
    }

    /** Returns the time since the store last answered for this table, in milliseconds. */
    final long sinceAnswerMillis() {
        return timers.nowMillis() - answeredAtMillis;
    }
}
