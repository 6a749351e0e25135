package org.tarragonarch.ctl.command;

import com.google.common.collect.ImmutableList;
import java.net.ConnectException;
import java.time.Duration;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminException;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.admin.AdminResult;
import org.tarragonarch.ctl.admin.NodeView;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.id.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Takes a node out of use. */
@Command(
        name = "node",
        description =
                "Has a node leave: it tells the balancer, takes work a little longer, finishes what it has, exits.")
final class DrainNodeCommand extends ConnectedCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final String GONE = "gone";

    @Parameters(paramLabel = "NODE", description = "The node's name; its address must be among those given.")
    private String node;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "40s",
            description = "How long to wait until the node is gone; ${DEFAULT-VALUE} unless stated, 0s not to wait.")
    private Duration atMost;

    @Override
    public Integer call() throws Exception {
        try (AdminNodes nodes = nodes(connection())) {
            AdminClient client = find(nodes);
            client.drain();
            output().printNote(node + " was asked to leave");
            return watch(client);
        }
    }

    private AdminClient find(AdminNodes nodes) {
        ImmutableList<AdminResult<NodeView>> answers = nodes.callAll(AdminClient::status);
        Address found = answers.stream()
                .filter(answer ->
                        answer.value().filter(view -> view.node().equals(node)).isPresent())
                .map(AdminResult::node)
                .findFirst()
                .orElseThrow(() -> usage(
                        "none of the nodes that answer is '" + node + "'; give its administration address by --admin"));
        return nodes.clients().stream()
                .filter(client -> client.address().equals(found))
                .findFirst()
                .orElseThrow();
    }

    private int watch(AdminClient client) throws InterruptedException {
        long started = System.nanoTime();
        String told = "asked to leave";
        while (Duration.ofNanos(System.nanoTime() - started).compareTo(atMost) < 0) {
            String state = state(client);
            if (!state.equals(told)) {
                told = state;
                output().printNote(node + ": " + state);
            }
            if (state.equals(GONE)) {
                break;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        output().printTable(Table.of("node", "state").row(node, told), "");
        if (told.equals(GONE)) {
            output().printNote("take " + client.address()
                    + " out of your admin-addresses, unless the node is started again");
        }
        return told.equals(GONE) || atMost.isZero() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private String state(AdminClient client) {
        try {
            NodeView view = client.status();
            return view.phase() + ", " + view.submissions() + " open submission(s)";
        } catch (AdminException e) {
            // Only a node that no longer listens is gone; one that is slow or refuses is still there.
            return e.getCause() instanceof ConnectException ? GONE : "does not answer";
        }
    }
}
