package org.tarragonarch.standin.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * One submission as it will be made.
 *
 * @param single whether it is a request, not a job
 * @param runTimesMillis how long each task really takes, in milliseconds
 */
record JobPlan(boolean single, ImmutableList<Integer> runTimesMillis) {
    JobPlan {
        checkArgument(!runTimesMillis.isEmpty(), "a submission without tasks");
        checkArgument(!single || runTimesMillis.size() == 1, "a request has one task");
    }

    /** Returns the run time of the slowest task, in milliseconds. */
    int slowestMillis() {
        return runTimesMillis.stream().mapToInt(Integer::intValue).max().orElseThrow();
    }

    /** Returns the run time of all tasks together, in milliseconds. */
    long workMillis() {
        return runTimesMillis.stream().mapToLong(Integer::longValue).sum();
    }
}
