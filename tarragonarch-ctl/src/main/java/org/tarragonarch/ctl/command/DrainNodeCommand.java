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

/** Drains a node. */
@Command(
        name = "node",
        description = "Drains a node: it becomes unready, accepts work for a short delay, completes it, and exits.")
final class DrainNodeCommand extends ConnectedCommand {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final String GONE = "gone";

    @Parameters(
            paramLabel = "NODE",
            description = "The node's name; its address must be one of the administration addresses.")
    private String node;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "40s",
            description = "How long to wait until the node is gone, 0s not to wait; the default is ${DEFAULT-VALUE}.")
    private Duration timeout;

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
                        "no node that answers is named '" + node + "'; give its administration address with --admin"));
        return nodes.clients().stream()
                .filter(client -> client.address().equals(found))
                .findFirst()
                .orElseThrow();
    }

    private int watch(AdminClient client) throws InterruptedException {
        long started = System.nanoTime();
        String lastState = "asked to leave";
        while (Duration.ofNanos(System.nanoTime() - started).compareTo(timeout) < 0) {
            String state = state(client);
            if (!state.equals(lastState)) {
                lastState = state;
                output().printNote(node + ": " + state);
            }
            if (state.equals(GONE)) {
                break;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        output().printTable(Table.of("node", "state").row(node, lastState), "");
        if (lastState.equals(GONE)) {
            output().printNote("remove " + client.address()
                    + " from your admin-addresses, unless the node is started again");
        }
        return lastState.equals(GONE) || timeout.isZero() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private String state(AdminClient client) {
        try {
            NodeView view = client.status();
            return view.phase() + ", " + view.submissions() + " open submission(s)";
        } catch (AdminException e) {
            // Only a refused connection shows that the node is gone; a slow node may only time out.
            return e.getCause() instanceof ConnectException ? GONE : "does not answer";
        }
    }
}
