package org.tarragonarch.core.share;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.share.ShareSettings;

/** The shares of a pool: the capacity that each uses and wants, and the values that determine the order of starts. */
public final class PoolShares {
    private final SharePlan plan;
    private final Iterable<ShareTally> tallies;
    private final ToLongFunction<ShareId> waitingMilliCores;
    private final Set<ShareId> known = new LinkedHashSet<>();
    /** Cached because the plan creates new settings with every call for a priority that it does not name. */
    private final Map<ShareId, ShareSettings> settings = new HashMap<>();

    /**
     * Creates the shares of a pool.
     *
     * @param tallies the capacity in use, one tally for each failure domain of the pool; a live view
     * @param waitingMilliCores returns the need of the waiting tasks of a share, in thousandths of a core
     */
    public PoolShares(SharePlan plan, Iterable<ShareTally> tallies, ToLongFunction<ShareId> waitingMilliCores) {
        this.plan = plan;
        this.tallies = tallies;
        this.waitingMilliCores = waitingMilliCores;
    }

    /** Returns the configured division of capacity. */
    public SharePlan plan() {
        return plan;
    }

    /** Returns the share of the jobs of a queue, which {@link #demands} lists from then on. */
    public ShareId shareOf(String service, int priority) {
        ShareId share = plan.shareOf(service, priority);
        if (known.add(share)) {
            known.addAll(plan.sharesOf(service));
        }
        return share;
    }

    /** Returns the services of all shares that {@link #shareOf} was called for. */
    public Set<String> services() {
        Set<String> services = new LinkedHashSet<>();
        known.forEach(share -> services.add(share.service()));
        return services;
    }

    private ShareSettings settingsOf(ShareId share) {
        return settings.computeIfAbsent(share, plan::settingsOf);
    }

    /** Returns the processor time that a share has in use, in thousandths of a core. */
    public long usedMilliCores(ShareId share) {
        long used = 0;
        for (ShareTally tally : tallies) {
            used += tally.usedMilliCores(share);
        }
        return used;
    }

    /**
     * Returns the processor time that a share has in use divided by its weight; the share with the least starts next.
     */
    public double usedByWeight(ShareId share) {
        return usedMilliCores(share) / settingsOf(share).weight();
    }

    /** Returns whether a share has less in use than its guaranteed fraction of the capacity. */
    public boolean isBelowGuaranteed(ShareId share, long capacityMilliCores) {
        double guaranteed = settingsOf(share).guaranteed();
        return guaranteed > 0 && usedMilliCores(share) < guaranteed * capacityMilliCores;
    }

    /** Returns whether a share would exceed its ceiling if it started a task that needs {@code neededMilliCores}. */
    public boolean exceedsCeiling(ShareId share, long neededMilliCores, long capacityMilliCores) {
        double ceiling = settingsOf(share).ceiling();
        return ceiling < 1 && usedMilliCores(share) + neededMilliCores > ceiling * capacityMilliCores;
    }

    /** Returns the demand of every share of a service. */
    public ImmutableList<ShareDemand> demands(String service) {
        ImmutableList.Builder<ShareDemand> demands = ImmutableList.builder();
        for (ShareId share : known) {
            if (share.service().equals(service)) {
                demands.add(demand(share));
            }
        }
        return demands.build();
    }

    private ShareDemand demand(ShareId share) {
        double released = 0;
        for (ShareTally tally : tallies) {
            released += tally.releasedPerMilli(share);
        }
        long waiting = waitingMilliCores.applyAsLong(share);
        return new ShareDemand(share, settingsOf(share), usedMilliCores(share), waiting, released);
    }

    /** Returns the admission of jobs of a share. */
    public ShareAdmission admission(ShareId share, long capacityMilliCores) {
        ImmutableList<ShareDemand> demands = demands(share.service());
        int index = 0;
        while (!demands.get(index).share().equals(share)) {
            index++;
        }
        return new ShareAdmission(capacityMilliCores, demands, index);
    }

    /** Returns the state of every share of a service in a pool of that capacity, in thousandths of a core. */
    public ImmutableList<ShareState> states(String service, long capacityMilliCores) {
        ImmutableList<ShareDemand> demands = demands(service);
        ImmutableList.Builder<ShareState> states = ImmutableList.builder();
        for (int i = 0; i < demands.size(); i++) {
            states.add(new ShareAdmission(capacityMilliCores, demands, i).state());
        }
        return states.build();
    }

    /** Returns the entitlement of a share: what it gets if every share is backlogged. */
    static long entitlement(List<ShareDemand> demands, int index, long capacityMilliCores) {
        return WaterFilling.divide(
                capacityMilliCores,
                demands.stream().map(ShareDemand::backlogged).toList())[index];
    }

    /** Returns the demands with one share backlogged. */
    static ImmutableList<ShareDemand> withBacklogged(List<ShareDemand> demands, int index) {
        ImmutableList.Builder<ShareDemand> changed = ImmutableList.builderWithExpectedSize(demands.size());
        for (int i = 0; i < demands.size(); i++) {
            changed.add(i == index ? demands.get(i).backlogged() : demands.get(i));
        }
        return changed.build();
    }
}
