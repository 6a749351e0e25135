package org.tarragonarch.core.submission;

import java.time.Duration;

/** The bounds of the time after which a refused caller is asked to retry. */
public final class RetryAfterBounds {
    /** A shorter wait would bring the caller back to the same queue. */
    private static final Duration MIN = Duration.ofMillis(100);
    /** A longer wait would leave a recovered service idle. */
    private static final Duration MAX = Duration.ofSeconds(30);

    private RetryAfterBounds() {}

    /** Returns the estimate, raised or lowered to the nearest bound. */
    public static Duration clamp(Duration estimate) {
        if (estimate.compareTo(MIN) < 0) {
            return MIN;
        }
        return estimate.compareTo(MAX) > 0 ? MAX : estimate;
    }
}
