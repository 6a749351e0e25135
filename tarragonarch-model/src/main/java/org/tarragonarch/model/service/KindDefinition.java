package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.model.id.KindName;

/**
 * One kind of request that a service accepts.
 *
 * @param name the kind's name
 * @param idempotent whether running a request twice does no more than running it once
 * @param maxTasks the most tasks that one job may hold
 * @param maxBodyBytes the most bytes that one task's body may hold
 * @param deadline the time after which a submission is given up on when the caller states none; also the longest that a
 *     caller may state
 * @param expectedRunTime the operator's guess of a task's run time, used until run times are learnt
 */
public record KindDefinition(
        KindName name,
        boolean idempotent,
        int maxTasks,
        long maxBodyBytes,
        Duration deadline,
        Duration expectedRunTime) {
    /** Checks the ranges. */
    public KindDefinition {
        checkNotNull(name, "name");
        checkArgument(maxTasks >= 1, "max-tasks %s of kind %s is below 1", maxTasks, name);
        checkArgument(maxBodyBytes >= 0, "max-body-bytes %s of kind %s is negative", maxBodyBytes, name);
        checkArgument(!deadline.isNegative() && !deadline.isZero(), "deadline of kind %s is not positive", name);
        checkArgument(!expectedRunTime.isNegative(), "expected-run-time of kind %s is negative", name);
    }
}
