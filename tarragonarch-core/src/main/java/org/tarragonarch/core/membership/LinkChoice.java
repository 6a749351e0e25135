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
 * Chooses the peers that get this node's reports: every one of the own failure domain, and a few of each other.
 *
 * <p>From each domain to each other, {@value #SENDERS} nodes send to {@value #RECEIVERS} nodes each, both chosen by
 * rendezvous hashing on the pair of domains; with fewer nodes than that, all. Either node of a pair may fail at once
 * with one of the other domain and a link is still left. The number of links grows with the domains, not with the
 * nodes in them.
 */
final class LinkChoice {
    /** How many nodes of a domain send to another domain. */
    static final int SENDERS = 2;

    /** How many nodes of the other domain each of them sends to. */
    static final int RECEIVERS = 2;

    private final NodeId self;
    private final FailureDomain own;

    LinkChoice(NodeId self, FailureDomain own) {
        this.self = self;
        this.own = own;
    }

    /**
     * Returns the peers to report to.
     *
     * @param peers every peer with an address
     * @param aliveInDomain the nodes of the own domain that are alive, this one among them
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
