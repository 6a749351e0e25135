package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.share.LimitWatch;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.task.Timers;

/** Reports when a share of a pool becomes limited and when it is no longer limited. */
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

    /** Reports the shares whose state has changed; to be called a few times a second. */
    void review() {
        long now = timers.nowMillis();
        for (ShareState state : states()) {
            watch.update(state, now).ifPresent(isLimited -> listener.shareLimited(state, isLimited));
        }
    }

    /** Returns the state of every share; empty where no shares are configured. */
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
