package org.tarragonarch.benchmark.decision;

import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.Locale;

/** Measures the heap per queued task and per known endpoint, as the slope between two sizes. */
public final class DecisionMemory {
    private static final int ROUNDS = 5;
    private static final int FEW = 1_000;
    private static final int MANY = 21_000;
    private static final int FEW_WORKERS = 30;
    private static final int MANY_WORKERS = 10_030;
    private static final int TASKS_PER_JOB = 10;

    private DecisionMemory() {}

    /** Prints the slopes, one line for each round. */
    public static void main(String[] arguments) throws InterruptedException {
        PrintWriter out = new PrintWriter(System.out, true, Charset.defaultCharset());
        for (int round = 0; round < ROUNDS; round++) {
            double job = (double) (heapOf(FEW_WORKERS, MANY) - heapOf(FEW_WORKERS, FEW)) / (MANY - FEW);
            double worker =
                    (double) (heapOf(MANY_WORKERS, FEW) - heapOf(FEW_WORKERS, FEW)) / (MANY_WORKERS - FEW_WORKERS);
            out.printf(
                    Locale.ROOT,
                    "bytes per queued job %.0f, per queued task %.0f, per known endpoint %.0f%n",
                    job,
                    job / TASKS_PER_JOB,
                    worker);
        }
    }

    private static long heapOf(int workers, int queuedJobs) throws InterruptedException {
        long before = usedAfterCollection();
        Decisions decisions = new Decisions(workers, queuedJobs);
        long heap = usedAfterCollection() - before;
        if (decisions.queue.queuedTasks() != queuedJobs * TASKS_PER_JOB) {
            throw new AssertionError("the queue lost tasks");
        }
        return heap;
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
