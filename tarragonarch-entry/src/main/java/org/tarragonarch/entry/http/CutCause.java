package org.tarragonarch.entry.http;

/** The reasons for closing a connection or refusing a request before it reaches the application. */
public enum CutCause {
    /** The port had too many connections. */
    TOO_MANY_CONNECTIONS("too-many-connections"),
    /** A request was not received completely in time. */
    SLOW_SENDER("slow-sender"),
    /** A client did not read its answer in time. */
    SLOW_READER("slow-reader"),
    /** A connection was idle for too long. */
    IDLE("idle"),
    /** A request's body was too large. */
    BODY_TOO_LARGE("body-too-large"),
    /** The request line or the headers were too large. */
    HEADERS_TOO_LARGE("headers-too-large"),
    /** A message was not HTTP. */
    NOT_HTTP("not-http");

    private final String word;

    CutCause(String word) {
        this.word = word;
    }

    /** Returns the name used in logs and metrics. */
    public String word() {
        return word;
    }
}
