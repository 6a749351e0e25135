package org.tarragonarch.entry;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits up to ten seconds for a condition that another thread fulfils. */
public final class Eventually {
    private static final Duration BOUND = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofMillis(2);

    private Eventually() {}

    public static void check(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            LockSupport.parkNanos(STEP.toNanos());
        }
        assertTrue(condition.getAsBoolean(), what);
    }
}
