package org.tarragonarch.model.outcome;

/** Why a submission was not answered with results; each code fixes the outcome and the HTTP status. */
public enum ProblemCode {
    /** The message could not be read. */
    MALFORMED("malformed", Outcome.NOT_RUN, 400),
    /** No token, or one that nobody holds. */
    UNAUTHENTICATED("unauthenticated", Outcome.NOT_RUN, 401),
    /** The caller may not use this service. */
    FORBIDDEN("forbidden", Outcome.NOT_RUN, 403),
    /** There is no such service. */
    UNKNOWN_SERVICE("unknown-service", Outcome.NOT_RUN, 404),
    /** The service does not accept this kind. */
    UNKNOWN_KIND("unknown-kind", Outcome.NOT_RUN, 404),
    /** The submission breaks a limit of its kind, so it can never run. */
    OVER_LIMIT("over-limit", Outcome.NOT_RUN, 413),
    /** The same key came before with other content. */
    KEY_REUSED("key-reused", Outcome.NOT_RUN, 409),
    /** The queue is full. */
    QUEUE_FULL("queue-full", Outcome.NOT_RUN, 429),
    /** The team uses all it may. */
    OVER_QUOTA("over-quota", Outcome.NOT_RUN, 429),
    /** The estimated wait passes the deadline. */
    WOULD_MISS_DEADLINE("would-miss-deadline", Outcome.NOT_RUN, 503),
    /** The deadline passed before anything left this node. */
    EXPIRED_IN_QUEUE("expired-in-queue", Outcome.NOT_RUN, 503),
    /** No endpoint of the service can be reached. */
    NO_ENDPOINT("no-endpoint", Outcome.NOT_RUN, 503),
    /** The key could not be claimed because the table service is out. */
    CLAIM_UNAVAILABLE("claim-unavailable", Outcome.NOT_RUN, 503),
    /** The node is leaving. */
    DRAINING("draining", Outcome.NOT_RUN, 503),
    /** The node has no configuration yet. */
    NOT_READY("not-ready", Outcome.NOT_RUN, 503),
    /** The caller cancelled before anything left this node. */
    CANCELLED("cancelled", Outcome.NOT_RUN, 409),
    /** An endpoint ran the task and says that it failed. */
    TASK_FAILED("task-failed", Outcome.FAILED, 502),
    /** The connection broke, or the answer was cut short or was another's, after bytes left. */
    ANSWER_LOST("answer-lost", Outcome.UNKNOWN, 504),
    /** The deadline passed after bytes left. */
    DEADLINE_PASSED("deadline-passed", Outcome.UNKNOWN, 504),
    /** The caller cancelled after bytes left. */
    CANCELLED_WHILE_RUNNING("cancelled-while-running", Outcome.UNKNOWN, 504),
    /** Another node holds the key, and its answer cannot be had. */
    HELD_ELSEWHERE("held-elsewhere", Outcome.UNKNOWN, 504),
    /** The node stopped before the answer came. */
    SHUT_DOWN("shut-down", Outcome.UNKNOWN, 504);

    private final String word;
    private final Outcome outcome;
    private final int status;

    ProblemCode(String word, Outcome outcome, int status) {
        this.word = word;
        this.outcome = outcome;
        this.status = status;
    }

    /** Returns the word that stands for this in answers and logs. */
    public String word() {
        return word;
    }

    /** Returns the outcome that a problem of this code has. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the HTTP status of an answer with this code. */
    public int status() {
        return status;
    }

    /** Returns whether the same submission may succeed later, so that the answer names a time to come back. */
    public boolean isRetryable() {
        return status == 429 || status == 503;
    }
}
