package org.tarragonarch.entry.http;

/** The limits that cut a connection or refuse a request before it is looked at. */
public enum CutCause {
    /** There were too many connections. */
    TOO_MANY_CONNECTIONS("too-many-connections"),
    /** A request did not arrive whole in time. */
    SLOW_SENDER("slow-sender"),
    /** A client did not read its answer in time. */
    SLOW_READER("slow-reader"),
    /** A connection had no request for too long. */
    IDLE("idle"),
    /** A request's body was too large. */
    BODY_TOO_LARGE("body-too-large"),
    /** A request's line or headers were too large. */
    HEADERS_TOO_LARGE("headers-too-large"),
    /** A message was not HTTP. */
    NOT_HTTP("not-http");

    private final String word;

    CutCause(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in logs and metrics. */
    public String word() {
        return word;
    }
}
