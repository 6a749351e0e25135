package org.tarragonarch.entry.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Counts the requests of a port whose answers are not fully written. Thread-safe. */
final class ExchangeCount {
    private int open;

    synchronized void begin() {
        open++;
    }

    synchronized void end() {
        open--;
        notifyAll();
    }

    /** Waits until no request is open or the timeout passes; returns whether none is open. */
    synchronized boolean awaitNone(Duration timeout) throws InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        long remaining = timeout.toNanos();
        while (open > 0 && remaining > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, remaining);
            remaining = end - System.nanoTime();
        }
        return open == 0;
    }
}
