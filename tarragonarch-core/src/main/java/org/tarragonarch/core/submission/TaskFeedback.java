package org.tarragonarch.core.submission;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.runtime.RunTimeEstimator;

/** Passes on what the end of a task shows: the health of its endpoint, its run time, and a retry earned. */
final class TaskFeedback {
    private final EndpointDirectory endpoints;
    private final RunTimeEstimator runTimes;
    private final RetryBudget retryBudget;

    TaskFeedback(EndpointDirectory endpoints, RunTimeEstimator runTimes, RetryBudget retryBudget) {
        this.endpoints = endpoints;
        this.runTimes = runTimes;
        this.retryBudget = retryBudget;
    }

    void taskEnded(InFlightTask flight, TaskEnded ended, long nowNanos, ActionSink sink) {
        if (flight.stopped()) {
            endpoints.endedAfterStop(ended, nowNanos, sink);
            return;
        }
        long runNanos = nowNanos - flight.sentNanos();
        endpoints.ended(ended, flight.service(), flight.kind(), runNanos, nowNanos, sink);
        if (ended.result() == SendResult.SUCCEEDED) {
            runTimes.observe(flight.service(), flight.kind(), runNanos);
            retryBudget.recordSuccess();
        }
    }
}
