package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.TreeMap;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.admin.PeerView;
import org.tarragonarch.ctl.output.Table;
import picocli.CommandLine.Command;

/** Prints every node known to the nodes that are called. */
@Command(
        name = "nodes",
        description = "Prints every known node. 'heard' tells whether any node recently received a report from it.")
final class NodesCommand extends NodeTableCommand {
    @Override
    Table table(ImmutableList<NodeView> views) {
        Map<String, PeerView> known = new TreeMap<>();
        for (NodeView view : views) {
            view.peers().forEach(peer -> known.merge(peer.node(), peer, NodesCommand::fresher));
        }
        for (NodeView view : views) {
            known.put(view.node(), new PeerView(view.node(), view.domain(), true, view.phase(), view.configuration()));
        }
        Table table = Table.of("node", "domain", "phase", "configuration", "heard");
        known.values()
                .forEach(node -> table.row(
                        node.node(),
                        node.domain(),
                        node.phase(),
                        node.configuration().value(),
                        node.alive() ? "yes" : "no"));
        return table;
    }

    @Override
    String emptyMessage() {
        return "no node";
    }

    private static PeerView fresher(PeerView one, PeerView other) {
        if (one.alive() != other.alive()) {
            return one.alive() ? one : other;
        }
        return other.configuration().isNewerThan(one.configuration()) ? other : one;
    }
}
