package org.tarragonarch.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tarragonarch.standin.http.HttpExchange;
import org.tarragonarch.standin.http.HttpReply;

/** A task that occupies a slot, and the fault to apply to its answer. */
final class RunningTask {
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final String TASK_ID = "Task-Id";

    private final String id;
    private final HttpExchange exchange;
    private final Optional<Fault> fault;
    private final Start start;
    private final AtomicBoolean ended = new AtomicBoolean();

    RunningTask(String id, HttpExchange exchange, Optional<Fault> fault, Start start) {
        this.id = id;
        this.exchange = exchange;
        this.fault = fault;
        this.start = start;
    }

    String id() {
        return id;
    }

    /** Records that the result is no longer wanted. */
    void recordStop() {
        start.recordStop();
    }

    /** Ends the task; returns false if it has ended already. */
    boolean tryEnd() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        start.recordEnd();
        return true;
    }

    void succeed(JsonNode result, ReplyDecorator decorator) {
        FaultType type = fault.map(Fault::type).orElse(null);
        boolean wrongId = type == FaultType.WRONG_ID;
        HttpReply reply = decorator.apply(HttpReply.json(OK, result).withHeader(TASK_ID, wrongId ? id + "0" : id));
        if (type == FaultType.CUT_SHORT) {
            exchange.replyCutShort(reply);
        } else if (type == FaultType.ANSWER_LATE) {
            exchange.scheduleAfter(fault.get().milliseconds(), () -> exchange.reply(reply));
        } else if (type != FaultType.CLOSE_AFTER_READ) {
            exchange.reply(reply);
        }
    }

    void fail(String detail, ReplyDecorator decorator) {
        exchange.reply(decorator.apply(HttpReply.error(FAILED, detail).withHeader(TASK_ID, id)));
    }

    /** Adds headers to an answer according to the endpoint's state. */
    @FunctionalInterface
    interface ReplyDecorator {
        HttpReply apply(HttpReply reply);
    }
}
