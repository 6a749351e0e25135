package org.tarragonarch.core.quota;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.NodeId;

/**
 * Keeps the running tasks of each team, or each service, within this node's share of a failure domain's limit.
 *
 * <p>The limit of a failure domain is dealt evenly to its nodes; what is left over goes to the nodes that rendezvous
 * hashing ranks first for the key, so nodes that agree on who shares never exceed the limit together and need no
 * message for it. Where a limit is lower than the number of nodes, some nodes have no share.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <K> what is limited; its text form ranks the nodes
 */
public final class SharedLimits<K extends Comparable<K>> {
    private final NodeId self;
    private final ToIntFunction<K> limit;
    private final Multiset<K> running = HashMultiset.create();
    /** This node's rank for each key, since a share is asked for at every start. */
    private final Map<K, Integer> ranks = new HashMap<>();

    private ImmutableSet<NodeId> sharers;

    private SharedLimits(NodeId self, ToIntFunction<K> limit) {
        this.self = checkNotNull(self, "self");
        this.limit = checkNotNull(limit, "limit");
        this.sharers = ImmutableSet.of(self);
    }

    /**
     * Returns limits with nothing running, all of which this node has to itself.
     *
     * @param self this node
     * @param limit returns the limit of a key in the failure domain
     */
    public static <K extends Comparable<K>> SharedLimits<K> create(NodeId self, ToIntFunction<K> limit) {
        return new SharedLimits<>(self, limit);
    }

    /**
     * Sets which nodes of the failure domain share the limits.
     *
     * @param all every node that may use a share, this one among them, also those that are silent
     */
    public void setSharers(ImmutableSet<NodeId> all) {
        checkArgument(all.contains(self), "%s is not among the sharers", self);
        if (!all.equals(sharers)) {
            sharers = all;
            ranks.clear();
        }
    }

    /** Returns whether one more task may start from this node. */
    public boolean mayStart(K key) {
        return running.count(key) < share(key);
    }

    /** Counts a task that started. */
    public void started(K key) {
        running.add(key);
    }

    /** Counts a task that ended. */
    public void ended(K key) {
        running.remove(key);
    }

    /** Returns how many tasks may run from this node at once; may be 0. */
    public int share(K key) {
        int rank = ranks.computeIfAbsent(key, added -> RendezvousHash.rank(self, sharers, added.toString()));
        return RendezvousHash.share(rank, sharers.size(), limit.applyAsInt(key));
    }

    /** Returns how each key that runs something uses its limit, in the order of the keys. */
    public ImmutableList<LimitUse<K>> uses() {
        return running.elementSet().stream()
                .sorted()
                .map(key -> new LimitUse<>(key, running.count(key), share(key), limit.applyAsInt(key)))
                .collect(ImmutableList.toImmutableList());
    }
}
