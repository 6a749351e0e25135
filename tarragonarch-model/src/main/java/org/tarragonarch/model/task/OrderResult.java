package org.tarragonarch.model.task;

/** The result of an order to an endpoint. */
public enum OrderResult {
    /** The order was carried out, now or earlier. */
    DONE,
    /** Refused: the endpoint has seen a higher token. */
    FENCED,
    /** Refused: this run of the task or a later one was stopped or has ended at the endpoint. */
    OLD_RUN,
    /** Refused: the order arrived after its expiry. */
    TOO_LATE,
    /** Refused: the endpoint lacks free capacity for the task. */
    NO_ROOM,
    /** Refused: the endpoint is unhealthy or leaving, and did nothing. */
    UNWELL,
    /** Refused: an endpoint with another id answers at this address, so the intended one no longer exists. */
    OTHER_ENDPOINT,
    /** Refused: the order is malformed. */
    UNREADABLE,
    /** The connection was refused, so certainly nothing was done. */
    NOT_SENT,
    /** There was no answer; the order may have been carried out, or may still be. */
    UNKNOWN;

    /** Returns whether the order was certainly not carried out, and will not be. */
    public boolean isRefusal() {
        return this != DONE && this != UNKNOWN;
    }
}
