package org.tarragonarch.entry.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Counts the requests of a port that have no whole answer yet. Safe for use by several threads. */
final class ExchangeCount {
    private int underWay;

    synchronized void begin() {
        underWay++;
    }

    synchronized void end() {
        underWay--;
        notifyAll();
    }

    /** Waits until none is under way, for so long at most; returns whether none is. */
    synchronized boolean awaitNone(Duration bound) throws InterruptedException {
        long end = System.nanoTime() + bound.toNanos();
        long left = bound.toNanos();
        while (underWay > 0 && left > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, left);
            left = end - System.nanoTime();
        }
        return underWay == 0;
    }
}
