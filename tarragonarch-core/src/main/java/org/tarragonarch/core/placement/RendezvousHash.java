package org.tarragonarch.core.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.tarragonarch.model.id.NodeId;

/**
 * Ranks nodes for a shared resource, in the same order on every node, without messages.
 *
 * <p>Each pair of node and resource has a hash; the node with the highest hash comes first. Adding or removing a node
 * does not change the relative order of the other nodes.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the number of nodes that come before a node for a resource; takes time linear in the number of nodes.
     *
     * @param node the node to rank, which need not be among {@code nodes}
     * @param nodes all nodes that share the resource
     * @param resource the name of the resource
     */
    public static int rank(NodeId node, Set<NodeId> nodes, String resource) {
        long own = weight(node, resource);
        int preceding = 0;
        for (NodeId other : nodes) {
            if (!other.equals(node) && comesFirst(weight(other, resource), other, own, node)) {
                preceding++;
            }
        }
        return preceding;
    }

    /**
     * Returns the share of the node of a rank in {@code units}: an even division whose remainder goes to the first
     * ranks. The shares of all ranks add up to {@code units}.
     */
    public static int share(int rank, int nodes, int units) {
        return units / nodes + (rank < units % nodes ? 1 : 0);
    }

    private static boolean comesFirst(long weight, NodeId node, long otherWeight, NodeId otherNode) {
        return weight == otherWeight ? node.compareTo(otherNode) < 0 : weight > otherWeight;
    }

    private static long weight(NodeId node, String resource) {
        return Hashing.farmHashFingerprint64()
                .hashString(node.value() + '\n' + resource, StandardCharsets.UTF_8)
                .asLong();
    }
}
