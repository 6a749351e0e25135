package org.tarragonarch.standin.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * The plan of one submission.
 *
 * @param single whether the submission is a single request rather than a job
 * @param runTimesMillis the actual run time of each task, in milliseconds
 */
record JobPlan(boolean single, ImmutableList<Integer> runTimesMillis) {
    JobPlan {
        checkArgument(!runTimesMillis.isEmpty(), "a submission has at least one task");
        checkArgument(!single || runTimesMillis.size() == 1, "a request has exactly one task");
    }

    /** Returns the run time of the slowest task, in milliseconds. */
    int slowestMillis() {
        return runTimesMillis.stream().mapToInt(Integer::intValue).max().orElseThrow();
    }

    /** Returns the sum of the run times of all tasks, in milliseconds. */
    long workMillis() {
        return runTimesMillis.stream().mapToLong(Integer::longValue).sum();
    }
}
