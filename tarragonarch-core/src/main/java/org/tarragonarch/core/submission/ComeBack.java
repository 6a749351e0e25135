package org.tarragonarch.core.submission;

import java.time.Duration;

/** The bounds within which a caller is asked to come back. */
public final class ComeBack {
    /** Sooner would only meet the same queue. */
    private static final Duration SOONEST = Duration.ofMillis(100);
    /** Later would leave a recovered service idle. */
    private static final Duration LATEST = Duration.ofSeconds(30);

    private ComeBack() {}

    /** Returns the estimate, raised or lowered into the bounds. */
    public static Duration within(Duration estimate) {
        if (estimate.compareTo(SOONEST) < 0) {
            return SOONEST;
        }
        return estimate.compareTo(LATEST) > 0 ? LATEST : estimate;
    }
}
