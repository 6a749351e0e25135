package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.share.LimitWatch;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.task.Timers;

/** Looks at how the shares of a pool stand, and tells when one begins or ceases to be limited. */
final class ShareReview {
    private final PoolShares shares;
    private final PoolCapacity capacity;
    private final Timers timers;
    private final PlacerListener listener;
    private final LimitWatch watch = new LimitWatch();

    ShareReview(PoolShares shares, PoolCapacity capacity, Timers timers, PlacerListener listener) {
        this.shares = shares;
        this.capacity = capacity;
        this.timers = timers;
        this.listener = listener;
    }

    /** Tells of shares whose state has changed; to be called a few times a second. */
    void review() {
        long now = timers.nowMillis();
        for (ShareState state : states()) {
            watch.review(state, now).ifPresent(isLimited -> listener.shareLimited(state, isLimited));
        }
    }

    /** Returns how every share stands; none where no shares are configured. */
    ImmutableList<ShareState> states() {
        if (!shares.plan().isConfigured()) {
            return ImmutableList.of();
        }
        long now = timers.nowMillis();
        ImmutableList.Builder<ShareState> states = ImmutableList.builder();
        for (String service : shares.services()) {
            states.addAll(shares.states(service, capacity.of(service, now)));
        }
        return states.build();
    }
}
