package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * What a node can say of the queue that a request names.
 *
 * @param result whether there is such a queue
 * @param queue the queue; present if it was found
 */
public record QueueLookup(Result result, Optional<QueueDefinition> queue) {
    /** Checks the parts. */
    public QueueLookup {
        checkNotNull(result, "result");
        checkNotNull(queue, "queue");
        checkArgument(queue.isPresent() == (result == Result.FOUND), "%s with the queue %s", result, queue);
    }

    /** Returns that this is the queue. */
    public static QueueLookup found(QueueDefinition queue) {
        return new QueueLookup(Result.FOUND, Optional.of(queue));
    }

    /** Returns that there is no such queue. */
    public static QueueLookup unknown() {
        return new QueueLookup(Result.UNKNOWN, Optional.empty());
    }

    /** Returns that this node cannot know whether there is such a queue. */
    public static QueueLookup uncertain() {
        return new QueueLookup(Result.UNCERTAIN, Optional.empty());
    }

    /** Whether there is such a queue. */
    public enum Result {
        /** There is. */
        FOUND,
        /** There is none. */
        UNKNOWN,
        /** This node cannot know; another one may, and this one may later. */
        UNCERTAIN
    }
}
