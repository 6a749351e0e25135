package org.tarragonarch.core.routing;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobReply;

/**
 * Cache of the most recent answers, for requests that arrive again after their answer was sent.
 *
 * <p>The number of answers is bounded: at 2,000 jobs per second, a node's share of the target load, the cache covers
 * the last two seconds; at a low load, it covers minutes.
 */
final class AnsweredJobs {
    private static final int MAX_ANSWERS = 4_096;

    private final Map<JobId, JobReply> replies = BoundedMaps.evictingEldest(MAX_ANSWERS);

    void add(JobId job, JobReply reply) {
        if (reply.outcome().isFinal()) {
            replies.put(job, reply);
        }
    }

    Optional<JobReply> find(JobId job) {
        return Optional.ofNullable(replies.get(job));
    }
}
