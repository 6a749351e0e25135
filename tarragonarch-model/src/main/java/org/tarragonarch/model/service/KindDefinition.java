package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.model.id.KindName;

/**
 * A kind of request that a service accepts.
 *
 * @param name the kind's name
 * @param idempotent whether running a request twice has the same effect as running it once
 * @param maxTasks the maximum number of tasks of a job
 * @param maxBodyBytes the maximum size of a task's body, in bytes
 * @param deadline the deadline of a submission whose caller states none; also the longest that a caller may state
 * @param expectedRunTime the operator's estimate of a task's run time, used until run times are observed
 */
public record KindDefinition(
        KindName name,
        boolean idempotent,
        int maxTasks,
        long maxBodyBytes,
        Duration deadline,
        Duration expectedRunTime) {
    /** Checks that the limits and times are in range. */
    public KindDefinition {
        checkNotNull(name, "name");
        checkArgument(maxTasks >= 1, "max-tasks %s of kind %s is below 1", maxTasks, name);
        checkArgument(maxBodyBytes >= 0, "max-body-bytes %s of kind %s is negative", maxBodyBytes, name);
        checkArgument(!deadline.isNegative() && !deadline.isZero(), "deadline of kind %s is not positive", name);
        checkArgument(!expectedRunTime.isNegative(), "expected-run-time of kind %s is negative", name);
    }
}
