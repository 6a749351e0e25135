package org.tarragonarch.standin.soak;

import java.util.ArrayList;
import java.util.List;

/** A job of a soak's client and the answers that the client received. */
final class SentJob {
    /** The result of one attempt. */
    enum Answer {
        /** Every task is done. */
        DONE,
        /** A task failed permanently. */
        FAILED,
        /** No task ran. */
        REFUSED,
        /** Tasks may have run: no answer, a broken connection, or the job was given up. */
        UNKNOWN
    }

    private final String id;
    private final int tasks;
    private final long runMillis;
    private final List<Answer> answers = new ArrayList<>();
    private volatile long answeredAtMillis = Long.MAX_VALUE;

    SentJob(String id, int tasks, long runMillis) {
        this.id = id;
        this.tasks = tasks;
        this.runMillis = runMillis;
    }

    String id() {
        return id;
    }

    int tasks() {
        return tasks;
    }

    String body() {
        return "{\"Spec\":\"" + runMillis + "\",\"BestEffort\":true,\"Steps\":[{\"Count\":" + tasks
                + ",\"Cpu\":7000,\"MemMb\":64,\"EstMs\":" + runMillis + "}]}";
    }

    synchronized void recordAnswer(Answer answer, long atMillis) {
        answers.add(answer);
        answeredAtMillis = atMillis;
    }

    /** Returns the time of the last answer, on this machine's monotonic clock; the maximum before the first one. */
    long answeredAtMillis() {
        return answeredAtMillis;
    }

    synchronized boolean isDone() {
        return answers.contains(Answer.DONE);
    }

    /** Returns whether every attempt was refused. */
    synchronized boolean isRefused() {
        return !answers.isEmpty() && answers.stream().allMatch(answer -> answer == Answer.REFUSED);
    }
}
