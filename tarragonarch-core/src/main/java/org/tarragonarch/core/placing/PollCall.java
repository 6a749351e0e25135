package org.tarragonarch.core.placing;

/**
 * A call to an endpoint that reads its lists.
 *
 * @param number distinguishes the calls of one millisecond
 * @param kind what the call is for
 * @param sentAtMillis when the call was sent, on the steady clock
 * @param incarnationNumber the number of the incarnation that the call was sent to
 * @param acknowledgedEnd the highest number of an end that need not be listed again
 */
record PollCall(int number, Kind kind, long sentAtMillis, int incarnationNumber, long acknowledgedEnd) {
    /** Returns whether the call only watches for a restart, so that another one may replace it. */
    boolean watches() {
        return kind == Kind.WATCH;
    }

    /** Returns whether the endpoint may have received the call long before it answers. */
    boolean waits() {
        return kind != Kind.LIST;
    }

    /** What a call is for. */
    enum Kind {
        /** Reads the lists, which the endpoint answers at once. */
        LIST,
        /** Renews the lease, and waits for the next end of a run. */
        RENEWAL,
        /** Waits at an idle endpoint; a restart breaks it off. */
        WATCH
    }
}
