package org.tarragonarch.standin.soak;

import java.util.ArrayList;
import java.util.List;

/** One job of a soak's client, and what the client was told of it. */
final class SentJob {
    /** What one try ended with. */
    enum Answer {
        /** Every task is done. */
        DONE,
        /** A task failed for good. */
        FAILED,
        /** Nothing of it ran. */
        REFUSED,
        /** Nobody knows: no answer, a broken connection, or the word that it was given up. */
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

    /** Returns when the last answer came, on this machine's steady clock. */
    long answeredAtMillis() {
        return answeredAtMillis;
    }

    synchronized boolean isDone() {
        return answers.contains(Answer.DONE);
    }

    /** Returns whether the client was told by every try that nothing ran. */
    synchronized boolean isRefused() {
        return !answers.isEmpty() && answers.stream().allMatch(answer -> answer == Answer.REFUSED);
    }
}
