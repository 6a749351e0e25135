package org.tarragonarch.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class LinkChoiceTest {
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{2, 2}, {3, 2}, {3, 3}, {5, 4}, {19, 7}};
    }

    @Test(dataProvider = "sizes")
    public void testChoose_fourLinksBetweenDomains(int domains, int nodes) {
        Map<String, Integer> links = links(domains, nodes, ImmutableSet.of(), ImmutableSet.of());
        assertEquals(links.size(), domains * (domains - 1));
        links.forEach((pair, count) -> assertEquals((int) count, 4, pair));
    }

    /** Guards against two domains without a link while one dead node in each is still listed. */
    @Test
    public void testChoose_oneDeadNodePerDomain() {
        for (int dead = 0; dead < 4; dead++) {
            ImmutableSet<NodeId> gone = ImmutableSet.of(node(0, dead), node(1, 3 - dead));
            Map<String, Integer> links = links(3, 4, gone, gone);
            assertEquals(links.size(), 6);
            links.forEach((pair, count) -> assertTrue(count >= 2, pair + " has " + count));
        }
    }

    @Test
    public void testChoose_oneNodePerDomain() {
        Map<String, Integer> links = links(3, 1, ImmutableSet.of(), ImmutableSet.of());
        assertEquals(links.size(), 6);
    }

    private static NodeId node(int domain, int index) {
        return NodeId.of("d" + domain + "-n" + index);
    }

    /** Counts the links of each pair of domains, without links to dead nodes and links from nodes known to be dead. */
    private static Map<String, Integer> links(
            int domains, int nodes, ImmutableSet<NodeId> dead, ImmutableSet<NodeId> knownDead) {
        Map<String, Integer> links = new HashMap<>();
        for (int domain = 0; domain < domains; domain++) {
            Set<NodeId> alive = Sets.difference(nodesOf(domain, nodes), knownDead);
            for (NodeId self : alive) {
                FailureDomain own = FailureDomain.of("d" + domain);
                ImmutableSet<NodeId> chosen = new LinkChoice(self, own).choose(peers(self, domains, nodes), alive);
                for (NodeId other : Sets.difference(chosen, dead)) {
                    String to = other.value().substring(0, other.value().indexOf('-'));
                    if (!to.equals(own.value())) {
                        links.merge(own + ">" + to, 1, Integer::sum);
                    }
                }
            }
        }
        return links;
    }

    private static ImmutableSet<NodeId> nodesOf(int domain, int nodes) {
        ImmutableSet.Builder<NodeId> all = ImmutableSet.builder();
        for (int index = 0; index < nodes; index++) {
            all.add(node(domain, index));
        }
        return all.build();
    }

    private static ImmutableList<Peer> peers(NodeId self, int domains, int nodes) {
        ImmutableList.Builder<Peer> peers = ImmutableList.builder();
        for (int domain = 0; domain < domains; domain++) {
            for (NodeId node : nodesOf(domain, nodes)) {
                if (!node.equals(self)) {
                    Peer peer = new Peer(node, FailureDomain.of("d" + domain), 0);
                    peer.listed(FakeNode.vm(node.value(), "d" + domain), 0);
                    peers.add(peer);
                }
            }
        }
        return peers.build();
    }
}
