package org.tarragonarch.model.share;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The settings of all shares of a node, by priority; they apply to each service alike. */
public final class SharePlan {
    /** The plan without shares: all jobs belong to {@link ShareId#ALL}. */
    public static final SharePlan NONE = new SharePlan(ImmutableMap.of());

    /** Allowed excess over 1 of a sum of decimal fractions, for rounding in binary floating point. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final ImmutableMap<Integer, ShareSettings> byPriority;
    private final boolean isBounded;

    private SharePlan(ImmutableMap<Integer, ShareSettings> byPriority) {
        this.byPriority = byPriority;
        this.isBounded = byPriority.values().stream().anyMatch(ShareSettings::isBounded);
    }

    /**
     * Returns a plan; without any share it is {@link #NONE}.
     *
     * @throws IllegalArgumentException if a priority appears twice or the guaranteed fractions add up to more than 1
     */
    public static SharePlan of(List<ShareSettings> shares) {
        if (shares.isEmpty()) {
            return NONE;
        }
        Map<Integer, ShareSettings> byPriority = new HashMap<>();
        double guaranteed = 0;
        for (ShareSettings share : shares) {
            checkArgument(
                    byPriority.put(share.priority(), share) == null, "priority %s appears twice", share.priority());
            guaranteed += share.guaranteed();
            checkArgument(
                    guaranteed <= 1 + ROUNDING_TOLERANCE,
                    "priority " + share.priority() + ": with it the guaranteed fractions add up to %s, over 1",
                    guaranteed);
        }
        return new SharePlan(ImmutableMap.copyOf(byPriority));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SharePlan plan && plan.byPriority.equals(byPriority);
    }

    @Override
    public int hashCode() {
        return byPriority.hashCode();
    }

    @Override
    public String toString() {
        return byPriority.values().toString();
    }

    /** Returns whether the plan has any share. */
    public boolean isConfigured() {
        return !byPriority.isEmpty();
    }

    /** Returns whether any share has a guaranteed fraction or a ceiling. */
    public boolean isBounded() {
        return isBounded;
    }

    /** Returns the priorities that the plan names. */
    public ImmutableSet<Integer> priorities() {
        return byPriority.keySet();
    }

    /** Returns the share of a queue's jobs, by the service and the priority of the queue. */
    public ShareId shareOf(String service, int priority) {
        return isConfigured() ? new ShareId(service, priority) : ShareId.ALL;
    }

    /** Returns the shares of a service, one for each priority that the plan names. */
    public ImmutableList<ShareId> sharesOf(String service) {
        return byPriority.keySet().stream()
                .map(priority -> shareOf(service, priority))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the settings of a share; a priority that the plan does not name has the default weight and no bounds. */
    public ShareSettings settingsOf(ShareId share) {
        ShareSettings named = byPriority.get(share.priority());
        return named != null ? named : ShareSettings.weighted(share.priority(), ShareSettings.DEFAULT_WEIGHT);
    }
}
