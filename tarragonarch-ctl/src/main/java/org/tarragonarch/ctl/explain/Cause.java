package org.tarragonarch.ctl.explain;

import java.util.Locale;

/** The cause of the outcome of a job, as far as the logs show it. */
enum Cause {
    /** All tasks succeeded. */
    SERVED("every task ended well"),
    /** The client cancelled the job. */
    CANCELLED("its client cancelled it"),
    /** The configuration of the node had no queue of that name. */
    UNKNOWN_QUEUE("the configuration of the node that was asked had no such queue; compare its version and age"),
    /** The holder of the job, or the connection to it, was lost. */
    HOLDER_LOST("the holder that had the job was lost, and nobody can say what of it ran"),
    /** All failed runs were on one endpoint. */
    BAD_ENDPOINT("one endpoint did not do the work that it was given"),
    /** Runs failed on several endpoints. */
    BAD_WORK("its tasks failed wherever they ran"),
    /** A task was not started again because the endpoints of its runs crashed or became silent. */
    ENDPOINTS_LOST("endpoints crashed or fell silent while they ran a task of it, which was not started again"),
    /** An endpoint could not read the order to start a task. */
    ORDER_UNREADABLE("an endpoint could not read the order to start a task of it"),
    /** No holder had free capacity in time. */
    NO_ROOM("no holder had room for it in time"),
    /** No endpoint was available, and a failure domain was drained. */
    DRAINED("no holder had an endpoint that could take it, and a failure domain was drained"),
    /** No holder had an available endpoint. */
    NO_ENDPOINTS("no holder had an endpoint that could take it"),
    /** No holder was reachable. */
    NO_HOLDER("no holder of any shard was reachable"),
    /** The origin stopped before the job ended. */
    NODE_STOPPED("the node with its client's connection ended before the job did"),
    /** The deadline passed before the job ended. */
    OUT_OF_TIME("it was not done when its client's time was over, and no bad run or lost node is logged"),
    /** The logs do not show the answer. */
    NOT_LOGGED("the logs given do not show its answer; add those of the other nodes");

    private final String meaning;

    Cause(String meaning) {
        this.meaning = meaning;
    }

    /** Returns a one-line explanation of the cause. */
    String meaning() {
        return meaning;
    }

    /** Returns the stable identifier that output uses. */
    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
