package org.tarragonarch.core.quota;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.function.ToIntFunction;
import org.tarragonarch.core.status.QuotaStatus;
import org.tarragonarch.model.id.TeamName;

/**
 * Keeps each team's running tasks within this node's share of the team's quota.
 *
 * <p>Not safe for use by several threads.
 */
public final class TeamQuotas {
    private final Multiset<TeamName> running = HashMultiset.create();
    private final ToIntFunction<TeamName> quota;
    private int nodes = 1;

    private TeamQuotas(ToIntFunction<TeamName> quota) {
        this.quota = quota;
    }

    /** Returns quotas with nothing running; {@code quota} tells a team's quota in the failure domain. */
    public static TeamQuotas create(ToIntFunction<TeamName> quota) {
        return new TeamQuotas(quota);
    }

    /** Sets among how many nodes of the failure domain the quotas are shared. */
    public void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /** Returns whether the team may start one more task from this node. */
    public boolean mayStart(TeamName team) {
        return running.count(team) < share(team);
    }

    /** Counts a task that started. */
    public void started(TeamName team) {
        running.add(team);
    }

    /** Counts a task that ended. */
    public void ended(TeamName team) {
        running.remove(team);
    }

    /** Returns how many tasks of the team may run from this node at once. */
    public int share(TeamName team) {
        return Math.max(1, quota.applyAsInt(team) / nodes);
    }

    /** Returns a line for each team that runs something. */
    public ImmutableList<QuotaStatus> status() {
        return running.elementSet().stream()
                .sorted()
                .map(team -> new QuotaStatus(team, running.count(team), share(team), quota.applyAsInt(team)))
                .collect(ImmutableList.toImmutableList());
    }
}
