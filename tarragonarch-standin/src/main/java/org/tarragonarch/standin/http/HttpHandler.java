package org.tarragonarch.standin.http;

/** A handler of the requests to a stand-in; it runs on an event loop and must not block. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one complete request; the answer may be sent later and from any thread. */
    void handle(HttpExchange exchange);
}
