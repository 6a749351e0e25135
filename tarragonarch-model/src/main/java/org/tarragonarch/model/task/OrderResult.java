package org.tarragonarch.model.task;

/** What an endpoint said to an order, or that it said nothing. */
public enum OrderResult {
    /** Carried out, now or before. */
    DONE,
    /** Refused: a higher token was seen. */
    FENCED,
    /** Refused: that run, or a later one, was stopped or has ended there. */
    OLD_RUN,
    /** Refused: the order came after its own time. */
    TOO_LATE,
    /** Refused: the task does not fit. */
    NO_ROOM,
    /** Refused by an endpoint that is unhealthy or leaving; it has done nothing. */
    UNWELL,
    /** Refused: an endpoint with another id answers at this address, so the one meant is over. */
    OTHER_ENDPOINT,
    /** Refused as something that nobody could carry out. */
    UNREADABLE,
    /** The connection was refused: certainly nothing was done. */
    NOT_SENT,
    /** No answer: it may have been carried out, and may be yet. */
    UNKNOWN;

    /** Returns whether the order was certainly not carried out, and will not be. */
    public boolean isRefusal() {
        return this != DONE && this != UNKNOWN;
    }
}
