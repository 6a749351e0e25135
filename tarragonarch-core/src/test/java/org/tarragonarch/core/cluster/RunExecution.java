package org.tarragonarch.core.cluster;

import java.util.Optional;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.TaskRun;

/** A run as it really went at an endpoint, and when its end was acknowledged. */
final class RunExecution {
    private final TaskRun run;
    private final FakeEndpoint at;
    private final FencingToken token;
    private final long startedMillis;
    private Optional<EndKind> kind = Optional.empty();
    private long endedMillis = Long.MAX_VALUE;
    private Optional<FencingToken> acknowledgedBy = Optional.empty();
    private long acknowledgedMillis = Long.MAX_VALUE;

    RunExecution(TaskRun run, FakeEndpoint at, FencingToken token, long startedMillis) {
        this.run = run;
        this.at = at;
        this.token = token;
        this.startedMillis = startedMillis;
    }

    TaskRun run() {
        return run;
    }

    FencingToken token() {
        return token;
    }

    long startedMillis() {
        return startedMillis;
    }

    /** Returns whether this is the run at the endpoint that has not ended yet. */
    boolean isOpen(TaskRun candidate, FakeEndpoint endpoint) {
        return kind.isEmpty() && run.equals(candidate) && at == endpoint;
    }

    /** Returns whether this is the run at the endpoint whose end was not acknowledged yet. */
    boolean isUnacknowledged(TaskRun candidate, FakeEndpoint endpoint) {
        return kind.isPresent() && acknowledgedBy.isEmpty() && run.equals(candidate) && at == endpoint;
    }

    void end(EndKind as, long nowMillis) {
        kind = Optional.of(as);
        endedMillis = nowMillis;
    }

    void acknowledge(FencingToken by, long nowMillis) {
        acknowledgedBy = Optional.of(by);
        acknowledgedMillis = nowMillis;
    }

    boolean endedAs(EndKind as, long untilMillis) {
        return kind.filter(ended -> ended == as).isPresent() && endedMillis <= untilMillis;
    }

    boolean failedAndAcknowledged(long untilMillis) {
        return endedAs(EndKind.FAILED, untilMillis) && acknowledgedMillis <= untilMillis;
    }

    boolean isAcknowledgedWithin(long millis) {
        return acknowledgedMillis - endedMillis <= millis;
    }

    boolean isAcknowledgedBy(FencingToken holder) {
        return acknowledgedBy.filter(holder::equals).isPresent();
    }
}
