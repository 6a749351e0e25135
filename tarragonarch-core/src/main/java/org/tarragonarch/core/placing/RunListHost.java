package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.RunProgress;
import org.tarragonarch.model.task.TaskEnd;

/** The endpoint whose lists a {@link RunListPoller} reads. */
interface RunListHost extends EndpointHost {
    /** Returns whether the endpoint has a run of this holder, or may still carry out an order to start one. */
    boolean needsPolling();

    /** Returns whether the endpoint has a run of an earlier holder. */
    boolean hasRecoveredRuns();

    /** Called for each newly listed end of a run. */
    void runEnded(TaskEnd end);

    /**
     * Called when the lists were read, after {@link #runEnded} for each new end.
     *
     * @param running the runs in progress
     * @param sentAtMillis when the call was sent, on the steady clock; a run that started later may be missing
     * @param firstList whether these are the first lists of this incarnation
     * @param wasSilent whether the previous call got no answer
     */
    void listsRead(Iterable<RunProgress> running, long sentAtMillis, boolean firstList, boolean wasSilent);

    /** Called when a later incarnation answers, before its lists are processed. */
    void endpointRestarted(EndpointIncarnation later);

    /** Called when a poll got no usable answer. */
    void pollUnanswered();
}
