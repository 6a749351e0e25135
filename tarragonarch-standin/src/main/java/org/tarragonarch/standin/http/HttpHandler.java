package org.tarragonarch.standin.http;

/** Handles requests of a stand-in; runs on a network thread and must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one whole request; the answer may be given later and by any thread. */
    void handle(HttpExchange exchange);
}
