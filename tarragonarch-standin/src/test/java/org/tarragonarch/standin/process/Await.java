package org.tarragonarch.standin.process;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions by polling, up to a timeout. */
final class Await {
    private static final long PAUSE_MILLIS = 20;

    private Await() {}

    /**
     * Waits until a condition holds. An exception from the condition counts as false.
     *
     * @param what the condition, for the error message
     * @throws AssertionError if the condition does not hold within the timeout
     */
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
        throw new AssertionError("timed out after " + timeout + " waiting for: " + what, last);
    }
}
