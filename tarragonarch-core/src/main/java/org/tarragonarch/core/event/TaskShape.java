package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/**
 * The properties of a task's content that the core uses; the content itself stays in the shell.
 *
 * @param bodyBytes the size of the body in bytes
 * @param declaredRunTime the run time declared by the caller, which is often inaccurate
 */
public record TaskShape(long bodyBytes, Optional<Duration> declaredRunTime) {
    /**
     * Creates a task shape.
     *
     * @throws IllegalArgumentException if {@code bodyBytes} is negative
     */
    public TaskShape {
        checkArgument(bodyBytes >= 0, "bodyBytes %s is negative", bodyBytes);
        checkNotNull(declaredRunTime, "declaredRunTime");
    }
}
