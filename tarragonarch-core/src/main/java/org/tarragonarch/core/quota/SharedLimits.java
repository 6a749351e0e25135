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
 * Limits the running tasks of each team, or each service, to this node's share of a failure domain's limit.
 *
 * <p>The limit of a failure domain is divided evenly among its nodes; the remainder goes to the nodes that rendezvous
 * hashing ranks first for the key. Nodes that agree on the set of sharing nodes never exceed the limit together and
 * need no messages for it. If a limit is lower than the number of nodes, some nodes have no share.
 *
 * <p>Not thread-safe.
 *
 * @param <K> the type of what is limited; its {@code toString} is hashed to rank the nodes
 */
public final class SharedLimits<K extends Comparable<K>> {
    private final NodeId self;
    private final ToIntFunction<K> limit;
    private final Multiset<K> running = HashMultiset.create();
    /** This node's rank for each key, cached because the share is read with every start. */
    private final Map<K, Integer> ranks = new HashMap<>();

    private ImmutableSet<NodeId> sharers;

    private SharedLimits(NodeId self, ToIntFunction<K> limit) {
        this.self = checkNotNull(self, "self");
        this.limit = checkNotNull(limit, "limit");
        this.sharers = ImmutableSet.of(self);
    }

    /**
     * Returns limits without running tasks, of which this node has the whole share.
     *
     * @param self this node
     * @param limit returns the limit of a key in the failure domain
     */
    public static <K extends Comparable<K>> SharedLimits<K> create(NodeId self, ToIntFunction<K> limit) {
        return new SharedLimits<>(self, limit);
    }

    /**
     * Sets the nodes of the failure domain that share the limits.
     *
     * @param all every node that may use a share, including this node and silent nodes
     * @throws IllegalArgumentException if {@code all} does not contain this node
     */
    public void setSharers(ImmutableSet<NodeId> all) {
        checkArgument(all.contains(self), "%s is not among the sharers", self);
        if (!all.equals(sharers)) {
            sharers = all;
            ranks.clear();
        }
    }

    /** Returns whether this node may start one more task. */
    public boolean mayStart(K key) {
        return running.count(key) < share(key);
    }

    /** Records the start of a task. */
    public void started(K key) {
        running.add(key);
    }

    /** Records the end of a task. */
    public void ended(K key) {
        running.remove(key);
    }

    /** Returns the number of tasks of this node that may run at a time; may be 0. */
    public int share(K key) {
        int rank = ranks.computeIfAbsent(key, added -> RendezvousHash.rank(self, sharers, added.toString()));
        return RendezvousHash.share(rank, sharers.size(), limit.applyAsInt(key));
    }

    /** Returns the use of the limit of each key that has running tasks, in the order of the keys. */
    public ImmutableList<LimitUse<K>> uses() {
        return running.elementSet().stream()
                .sorted()
                .map(key -> new LimitUse<>(key, running.count(key), share(key), limit.applyAsInt(key)))
                .collect(ImmutableList.toImmutableList());
    }
}
