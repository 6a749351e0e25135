package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * What the core knows of a task's content, which itself stays in the shell.
 *
 * @param bodyBytes the size of the body in bytes
 * @param declaredRunTime the run time that the caller declares, often far from the truth
 */
public record TaskShape(long bodyBytes, Optional<Duration> declaredRunTime) {
    /** Checks the parts. */
    public TaskShape {
        checkArgument(bodyBytes >= 0, "bodyBytes %s is negative", bodyBytes);
        checkNotNull(declaredRunTime, "declaredRunTime");
    }
}
