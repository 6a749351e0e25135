package org.tarragonarch.standin.process;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions, with a bound and without guesses about time. */
final class Await {
    private static final long PAUSE_MILLIS = 20;

    private Await() {}

    /** Waits until the condition holds; an exception counts as not yet. */
    static void until(String what, Duration timeout, Callable<Boolean> condition) throws InterruptedException {
        long deadline = System.nanoTime() + timeout.toNanos();
        Exception last = null;
        while (System.nanoTime() < deadline) {
            try {
                if (condition.call()) {
                    return;
                }
                last = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new AssertionError("after " + timeout + " still not: " + what, last);
    }
}
