package org.tarragonarch.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.share.ShareId;

/**
 * Detects when a share becomes limited and when it no longer is, with hysteresis.
 *
 * <p>Guards against a report with every start of a share whose use is close to its allotment: a state is reported only
 * after it has lasted for some time.
 */
public final class LimitWatch {
    /** Longer than the tasks of a job with many tasks usually wait for capacity. */
    private static final long LIMITED_AFTER_MILLIS = 300;

    private static final long UNLIMITED_AFTER_MILLIS = 1_000;

    private final Map<ShareId, LimitState> byShare = new HashMap<>();

    /** Creates a watch in which no share is limited. */
    public LimitWatch() {}

    /**
     * Records the present state of a share.
     *
     * @param nowMillis the time on the steady clock
     * @return whether the share is limited from now on; empty if that has not changed
     */
    public Optional<Boolean> update(ShareState state, long nowMillis) {
        LimitState reported = byShare.computeIfAbsent(state.share(), unused -> new LimitState(nowMillis));
        if (state.isLimited() == reported.limited) {
            reported.unchangedSinceMillis = nowMillis;
            return Optional.empty();
        }
        long requiredMillis = reported.limited ? UNLIMITED_AFTER_MILLIS : LIMITED_AFTER_MILLIS;
        if (nowMillis - reported.unchangedSinceMillis < requiredMillis) {
            return Optional.empty();
        }
        reported.limited = !reported.limited;
        reported.unchangedSinceMillis = nowMillis;
        return Optional.of(reported.limited);
    }

    /** The last reported state of one share. */
    private static final class LimitState {
        private boolean limited;
        private long unchangedSinceMillis;

        LimitState(long unchangedSinceMillis) {
            this.unchangedSinceMillis = unchangedSinceMillis;
        }
    }
}
