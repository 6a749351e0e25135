package org.tarragonarch.standin.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The exchanges whose requests were read and whose answers are not sent yet. */
final class OpenExchanges {
    private final Set<HttpExchange> open = new HashSet<>();

    synchronized void add(HttpExchange exchange) {
        open.add(exchange);
    }

    synchronized void remove(HttpExchange exchange) {
        open.remove(exchange);
        notifyAll();
    }

    /** Waits until all answers are sent; returns false if the time ran out. */
    synchronized boolean awaitEmpty(long milliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (!open.isEmpty()) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }
}
