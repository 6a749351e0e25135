package org.tarragonarch.core.submission;

import java.time.Duration;

/** The bounds within which a caller is asked to come back. */
public final class RetryAfterBounds {
    /** Sooner would only meet the same queue. */
    private static final Duration MIN = Duration.ofMillis(100);
    /** Later would leave a recovered service idle. */
    private static final Duration MAX = Duration.ofSeconds(30);

    private RetryAfterBounds() {}

    /** Returns the estimate, raised or lowered into the bounds. */
    public static Duration clamp(Duration estimate) {
        if (estimate.compareTo(MIN) < 0) {
            return MIN;
        }
        return estimate.compareTo(MAX) > 0 ? MAX : estimate;
    }
}
