package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import com.google.common.collect.TreeMultimap;
import java.util.Collection;
import java.util.Set;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;

/**
 * Chooses the peers that receive this node's reports: all in its own failure domain, and a few in each other domain.
 *
 * <p>From each domain to each other domain, {@value #SENDERS} nodes send to {@value #RECEIVERS} nodes each, both chosen
 * by rendezvous hashing on the pair of domains; in a smaller domain all nodes do. A link remains if one node in each of
 * the two domains fails. The number of links grows with the number of domains, not with the nodes in them.
 */
final class LinkChoice {
    /** The number of nodes of a domain that send to another domain. */
    static final int SENDERS = 2;

    /** The number of nodes of the other domain to which each sender sends. */
    static final int RECEIVERS = 2;

    private final NodeId self;
    private final FailureDomain own;

    LinkChoice(NodeId self, FailureDomain own) {
        this.self = self;
        this.own = own;
    }

    /**
     * Returns the peers that receive reports.
     *
     * @param peers every peer with an address
     * @param aliveInDomain the live nodes of the own domain, including this one
     */
    ImmutableSet<NodeId> choose(Collection<Peer> peers, Set<NodeId> aliveInDomain) {
        ImmutableSet.Builder<NodeId> chosen = ImmutableSet.builder();
        TreeMultimap<FailureDomain, NodeId> others = TreeMultimap.create();
        for (Peer peer : peers) {
            if (peer.domain().equals(own)) {
                chosen.add(peer.node());
            } else if (peer.isListedLive()) {
                others.put(peer.domain(), peer.node());
            }
        }
        Multimaps.asMap(others).forEach((domain, nodes) -> {
            if (RendezvousHash.rank(self, aliveInDomain, own + ">" + domain) < SENDERS) {
                chosen.addAll(receivers(nodes, domain));
            }
        });
        return chosen.build();
    }

    private ImmutableSet<NodeId> receivers(Set<NodeId> nodes, FailureDomain domain) {
        String pair = own + ">" + domain;
        return nodes.stream()
                .filter(node -> RendezvousHash.rank(node, nodes, pair) < RECEIVERS)
                .collect(ImmutableSet.toImmutableSet());
    }
}
