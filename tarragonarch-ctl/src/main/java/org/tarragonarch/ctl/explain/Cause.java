package org.tarragonarch.ctl.explain;

import java.util.Locale;

/** Why a job ended as it did, as far as the logs tell; the first that fits is the cause. */
enum Cause {
    /** Its client was given what it asked for. */
    SERVED("every task ended well"),
    /** Its client took it back. */
    CANCELLED("its client cancelled it"),
    /** The node that was asked knew no queue of that name. */
    UNKNOWN_QUEUE("the configuration of the node that was asked had no such queue; compare its version and age"),
    /** The node or the link to the holder that had it was lost. */
    HOLDER_LOST("the holder that had the job was lost, and nobody can say what of it ran"),
    /** Every run that failed did so on one endpoint. */
    BAD_ENDPOINT("one endpoint did not do the work that it was given"),
    /** Runs failed on several endpoints. */
    BAD_WORK("its tasks failed wherever they ran"),
    /** No holder had room in time. */
    NO_ROOM("no holder had room for it in time"),
    /** Operators had drained the failure domains of the endpoints. */
    DRAINED("no holder had an endpoint that could take it, and a failure domain was drained"),
    /** No endpoint could be used. */
    NO_ENDPOINTS("no holder had an endpoint that could take it"),
    /** No holder was reachable. */
    NO_HOLDER("no holder of any shard was reachable"),
    /** The node stopped with it. */
    NODE_STOPPED("the node with its client's connection ended before the job did"),
    /** It was still being worked on when its client's time was over. */
    OUT_OF_TIME("it was not done when its client's time was over, and no bad run or lost node is logged"),
    /** The logs say nothing that decides. */
    NOT_LOGGED("the logs given do not show its answer; add those of the other nodes");

    private final String meaning;

    Cause(String meaning) {
        this.meaning = meaning;
    }

    /** Returns a sentence on it. */
    String meaning() {
        return meaning;
    }

    /** Returns one stable word. */
    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
