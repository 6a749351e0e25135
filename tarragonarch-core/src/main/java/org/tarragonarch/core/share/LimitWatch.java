package org.tarragonarch.core.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.share.ShareId;

/**
 * Tells when a share begins and ceases to be limited.
 *
 * <p>A share at the edge of its allotment is limited and not by turns with every start. So it begins after it was
 * limited for a while, and ceases after it was not for longer.
 */
public final class LimitWatch {
    /** Longer than the waves in which the tasks of wide jobs wait. */
    private static final long BEGINS_AFTER_MILLIS = 300;

    private static final long CEASES_AFTER_MILLIS = 1_000;

    private final Map<ShareId, Watched> byShare = new HashMap<>();

    /** Creates a watch for which no share is limited. */
    public LimitWatch() {}

    /** Records how a share stands; returns whether it is limited from now on, if that changed. */
    public Optional<Boolean> review(ShareState state, long nowMillis) {
        Watched watched = byShare.computeIfAbsent(state.share(), unused -> new Watched(nowMillis));
        if (state.isLimited() == watched.limited) {
            watched.sinceMillis = nowMillis;
            return Optional.empty();
        }
        long needed = watched.limited ? CEASES_AFTER_MILLIS : BEGINS_AFTER_MILLIS;
        if (nowMillis - watched.sinceMillis < needed) {
            return Optional.empty();
        }
        watched.limited = !watched.limited;
        watched.sinceMillis = nowMillis;
        return Optional.of(watched.limited);
    }

    /** What is known of one share. */
    private static final class Watched {
        private boolean limited;
        private long sinceMillis;

        Watched(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }
}
