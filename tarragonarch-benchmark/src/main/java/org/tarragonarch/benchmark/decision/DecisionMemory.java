package org.tarragonarch.benchmark.decision;

import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.Locale;

/** Measures the heap that a queued task and a known endpoint hold, as slopes between two sizes. */
public final class DecisionMemory {
    private static final int ROUNDS = 5;
    private static final int FEW = 1_000;
    private static final int MANY = 21_000;
    private static final int FEW_WORKERS = 30;
    private static final int MANY_WORKERS = 10_030;
    private static final int TASKS_OF_A_JOB = 10;

    private DecisionMemory() {}

    /** Prints the slopes, one line for each round. */
    public static void main(String[] arguments) throws InterruptedException {
        PrintWriter out = new PrintWriter(System.out, true, Charset.defaultCharset());
        for (int round = 0; round < ROUNDS; round++) {
            double job = (double) (heldBy(FEW_WORKERS, MANY) - heldBy(FEW_WORKERS, FEW)) / (MANY - FEW);
            double worker =
                    (double) (heldBy(MANY_WORKERS, FEW) - heldBy(FEW_WORKERS, FEW)) / (MANY_WORKERS - FEW_WORKERS);
            out.printf(
                    Locale.ROOT,
                    "bytes per queued job %.0f, per queued task %.0f, per known endpoint %.0f%n",
                    job,
                    job / TASKS_OF_A_JOB,
                    worker);
        }
    }

    private static long heldBy(int workers, int queuedJobs) throws InterruptedException {
        long before = usedAfterCollection();
        Decisions decisions = new Decisions(workers, queuedJobs);
        long held = usedAfterCollection() - before;
        if (decisions.queue.queuedTasks() != queuedJobs * TASKS_OF_A_JOB) {
            throw new AssertionError("the queue lost tasks");
        }
        return held;
    }

    private static long usedAfterCollection() throws InterruptedException {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(20);
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }
}
