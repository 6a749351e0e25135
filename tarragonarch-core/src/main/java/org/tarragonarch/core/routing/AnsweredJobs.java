package org.tarragonarch.core.routing;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobReply;

/**
 * The last answers that were given, for a request that arrives again after its answer left.
 *
 * <p>Bounded in number: at a node's share of the target load, some 2,000 jobs a second, it reaches back two seconds,
 * and at today's load minutes.
 */
final class AnsweredJobs {
    private static final int MOST = 4_096;

    private final Map<JobId, JobReply> replies = BoundedMaps.evictingEldest(MOST);

    void add(JobId job, JobReply reply) {
        if (reply.outcome().isFinal()) {
            replies.put(job, reply);
        }
    }

    Optional<JobReply> find(JobId job) {
        return Optional.ofNullable(replies.get(job));
    }
}
