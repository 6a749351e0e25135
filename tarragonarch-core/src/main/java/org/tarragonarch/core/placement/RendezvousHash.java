package org.tarragonarch.core.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.tarragonarch.model.id.NodeId;

/**
 * Ranks nodes for a thing that is shared among them, in the same order on every node, without a message.
 *
 * <p>Each pair of node and thing has a hash; the node with the highest comes first. A node that comes or goes moves no
 * other two nodes past each other.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns how many of the nodes come before one of them for a thing; costs time in proportion to the nodes.
     *
     * @param node the node asked about, which need not be among {@code nodes}
     * @param nodes all nodes that share the thing
     * @param thing the name of what is shared
     */
    public static int rank(NodeId node, Set<NodeId> nodes, String thing) {
        long own = weight(node, thing);
        int before = 0;
        for (NodeId other : nodes) {
            if (!other.equals(node) && comesFirst(weight(other, thing), other, own, node)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Returns how many of {@code units} equal parts fall to the node of a rank: an even deal, whose remainder goes to
     * the first ranks. The parts of all ranks add up to {@code units}.
     */
    public static int share(int rank, int nodes, int units) {
        return units / nodes + (rank < units % nodes ? 1 : 0);
    }

    private static boolean comesFirst(long weight, NodeId node, long otherWeight, NodeId otherNode) {
        return weight == otherWeight ? node.compareTo(otherNode) < 0 : weight > otherWeight;
    }

    private static long weight(NodeId node, String thing) {
        return Hashing.farmHashFingerprint64()
                .hashString(node.value() + '\n' + thing, StandardCharsets.UTF_8)
                .asLong();
    }
}
