package org.tarragonarch.core.submission;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.runtime.RunTimeEstimator;

/** Reports the end of a task to the endpoint directory, the run time estimator and the retry budget. */
final class TaskFeedback {
    private final EndpointDirectory endpoints;
    private final RunTimeEstimator runTimes;
    private final RetryBudget retryBudget;

    TaskFeedback(EndpointDirectory endpoints, RunTimeEstimator runTimes, RetryBudget retryBudget) {
        this.endpoints = endpoints;
        this.runTimes = runTimes;
        this.retryBudget = retryBudget;
    }

    void taskEnded(InFlightTask sent, TaskEnded ended, long nowNanos, ActionSink sink) {
        if (sent.stopped()) {
            endpoints.stoppedTaskEnded(ended, nowNanos, sink);
            return;
        }
        long runNanos = nowNanos - sent.sentNanos();
        endpoints.taskEnded(ended, sent.service(), sent.kind(), runNanos, nowNanos, sink);
        if (ended.result() == SendResult.SUCCEEDED) {
            runTimes.observe(sent.service(), sent.kind(), runNanos);
            retryBudget.recordSuccess();
        }
    }
}
