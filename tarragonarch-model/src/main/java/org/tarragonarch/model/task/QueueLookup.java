package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * The result of looking up the queue of a request.
 *
 * @param result whether the queue exists
 * @param queue the queue; present if and only if it was found
 */
public record QueueLookup(Result result, Optional<QueueDefinition> queue) {
    /** Checks that the queue matches the result. */
    public QueueLookup {
        checkNotNull(result, "result");
        checkNotNull(queue, "queue");
        checkArgument(
                queue.isPresent() == (result == Result.FOUND), "result %s does not match queue %s", result, queue);
    }

    /** Returns the result for a queue that was found. */
    public static QueueLookup found(QueueDefinition queue) {
        return new QueueLookup(Result.FOUND, Optional.of(queue));
    }

    /** Returns the result for a queue that does not exist. */
    public static QueueLookup unknown() {
        return new QueueLookup(Result.UNKNOWN, Optional.empty());
    }

    /** Returns the result of a node that cannot tell whether the queue exists. */
    public static QueueLookup uncertain() {
        return new QueueLookup(Result.UNCERTAIN, Optional.empty());
    }

    /** Whether a queue exists. */
    public enum Result {
        /** The queue exists. */
        FOUND,
        /** The queue does not exist. */
        UNKNOWN,
        /** This node cannot tell; another node may be able to, or this one later. */
        UNCERTAIN
    }
}
