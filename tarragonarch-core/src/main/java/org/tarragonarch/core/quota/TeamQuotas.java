package org.tarragonarch.core.quota;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.core.status.QuotaStatus;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.TeamName;

/**
 * Keeps each team's running tasks within this node's share of the team's quota.
 *
 * <p>The quota of a failure domain is dealt evenly to its nodes; what is left over goes to the nodes that rendezvous
 * hashing ranks first for the team, so nodes that agree on who shares never exceed the quota together and need no
 * message for it. Where a quota is lower than the number of nodes, some nodes have no share.
 *
 * <p>Not safe for use by several threads.
 */
public final class TeamQuotas {
    private final Multiset<TeamName> running = HashMultiset.create();
    private final ToIntFunction<TeamName> quota;
    private int nodes = 1;
    private Optional<Sharers> sharers = Optional.empty();
    /** This node's rank for each team, since a share is asked for at every start. */
    private final Map<TeamName, Integer> ranks = new HashMap<>();

    private TeamQuotas(ToIntFunction<TeamName> quota) {
        this.quota = quota;
    }

    /** Returns quotas with nothing running; {@code quota} tells a team's quota in the failure domain. */
    public static TeamQuotas create(ToIntFunction<TeamName> quota) {
        return new TeamQuotas(checkNotNull(quota, "quota"));
    }

    /**
     * Sets among how many nodes of the failure domain the quotas are shared, when their names are not known.
     *
     * <p>Nobody then gets what is left over by an even deal, since two nodes might take it; {@link #sharers} wastes
     * nothing.
     */
    public void nodes(int count) {
        nodes = Math.max(1, count);
        sharers = Optional.empty();
    }

    /**
     * Sets which nodes of the failure domain share the quotas.
     *
     * @param self this node
     * @param all every node that may use a share, this one among them, also those that are silent
     */
    public void sharers(NodeId self, ImmutableSet<NodeId> all) {
        checkArgument(all.contains(self), "%s is not among the sharers", self);
        Optional<Sharers> next = Optional.of(new Sharers(self, all));
        if (!next.equals(sharers)) {
            sharers = next;
            ranks.clear();
        }
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

    /** Returns how many tasks of the team may run from this node at once; may be 0. */
    public int share(TeamName team) {
        int whole = quota.applyAsInt(team);
        if (sharers.isEmpty()) {
            return whole / nodes;
        }
        Sharers group = sharers.get();
        int rank = ranks.computeIfAbsent(team, key -> RendezvousHash.rank(group.self, group.all, key.value()));
        return RendezvousHash.share(rank, group.all.size(), whole);
    }

    /** Returns a line for each team that runs something. */
    public ImmutableList<QuotaStatus> status() {
        return running.elementSet().stream()
                .sorted()
                .map(team -> new QuotaStatus(team, running.count(team), share(team), quota.applyAsInt(team)))
                .collect(ImmutableList.toImmutableList());
    }

    private record Sharers(NodeId self, ImmutableSet<NodeId> all) {}
}
