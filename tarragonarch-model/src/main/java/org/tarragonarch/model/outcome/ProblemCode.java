package org.tarragonarch.model.outcome;

/** The reasons why a submission has no results; each code determines the outcome and the HTTP status. */
public enum ProblemCode {
    /** The request could not be parsed. */
    MALFORMED("malformed", Outcome.NOT_RUN, 400),
    /** The request has no token or an unknown one. */
    UNAUTHENTICATED("unauthenticated", Outcome.NOT_RUN, 401),
    /** The caller may not use this service. */
    FORBIDDEN("forbidden", Outcome.NOT_RUN, 403),
    /** The service does not exist. */
    UNKNOWN_SERVICE("unknown-service", Outcome.NOT_RUN, 404),
    /** The service does not accept this kind. */
    UNKNOWN_KIND("unknown-kind", Outcome.NOT_RUN, 404),
    /** The submission exceeds a limit of its kind, so it can never run. */
    OVER_LIMIT("over-limit", Outcome.NOT_RUN, 413),
    /** The idempotency key was used before with other content. */
    KEY_REUSED("key-reused", Outcome.NOT_RUN, 409),
    /** The queue is full. */
    QUEUE_FULL("queue-full", Outcome.NOT_RUN, 429),
    /** The team has reached its quota. */
    OVER_QUOTA("over-quota", Outcome.NOT_RUN, 429),
    /** The estimated wait exceeds the deadline. */
    WOULD_MISS_DEADLINE("would-miss-deadline", Outcome.NOT_RUN, 503),
    /** The deadline passed before anything was sent to an endpoint. */
    EXPIRED_IN_QUEUE("expired-in-queue", Outcome.NOT_RUN, 503),
    /** No endpoint of the service can be reached. */
    NO_ENDPOINT("no-endpoint", Outcome.NOT_RUN, 503),
    /** The key could not be claimed because the table service is unavailable. */
    CLAIM_UNAVAILABLE("claim-unavailable", Outcome.NOT_RUN, 503),
    /** The node is shutting down. */
    DRAINING("draining", Outcome.NOT_RUN, 503),
    /** The node has no configuration yet. */
    NOT_READY("not-ready", Outcome.NOT_RUN, 503),
    /** The caller cancelled before anything was sent to an endpoint. */
    CANCELLED("cancelled", Outcome.NOT_RUN, 409),
    /** An endpoint ran the task and reported that it failed. */
    TASK_FAILED("task-failed", Outcome.FAILED, 502),
    /** After bytes were sent, the connection broke, or the answer was truncated or belonged to another task. */
    ANSWER_LOST("answer-lost", Outcome.UNKNOWN, 504),
    /** The deadline passed after bytes were sent to an endpoint. */
    DEADLINE_PASSED("deadline-passed", Outcome.UNKNOWN, 504),
    /** The caller cancelled after bytes were sent to an endpoint. */
    CANCELLED_WHILE_RUNNING("cancelled-while-running", Outcome.UNKNOWN, 504),
    /** Another node has claimed the key, and its answer is unavailable. */
    HELD_ELSEWHERE("held-elsewhere", Outcome.UNKNOWN, 504),
    /** The node stopped before the answer arrived. */
    SHUT_DOWN("shut-down", Outcome.UNKNOWN, 504);

    private final String word;
    private final Outcome outcome;
    private final int status;

    ProblemCode(String word, Outcome outcome, int status) {
        this.word = word;
        this.outcome = outcome;
        this.status = status;
    }

    /** Returns the word for this code in answers and logs. */
    public String word() {
        return word;
    }

    /** Returns the outcome of a submission with this problem. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the HTTP status of an answer with this code. */
    public int status() {
        return status;
    }

    /** Returns whether the same submission may succeed later, so that the answer suggests when to retry. */
    public boolean isRetryable() {
        return status == 429 || status == 503;
    }
}
