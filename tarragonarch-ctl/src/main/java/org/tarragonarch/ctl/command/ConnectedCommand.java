package org.tarragonarch.ctl.command;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.ctl.change.AdminGateway;
import org.tarragonarch.ctl.change.ConfigurationGateway;
import org.tarragonarch.ctl.change.StoreGateway;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.ctl.connection.ConnectionOptions;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that calls nodes or the platform. */
abstract class ConnectedCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private ConnectionOptions connectionOptions;

    @Mixin
    private Output output;

    final Output output() {
        return output;
    }

    final Connection connection() throws SettingsException {
        return connectionOptions.read();
    }

    /** Returns the nodes of a connection; the caller closes them. */
    final AdminNodes nodes(Connection connection) {
        return nodes(connection, connection.timeout());
    }

    final AdminNodes nodes(Connection connection, Duration timeout) {
        if (connection.adminAddresses().isEmpty()) {
            throw usage("no node is named: give --admin IP:PORT, or admin-addresses in a --settings file");
        }
        if (connection.operatorToken().isEmpty()) {
            throw usage("no operator token: give --token-file FILE, token-file in a --settings file, or the"
                    + " environment variable TARRAGONCTL_TOKEN");
        }
        return AdminNodes.create(connection, timeout);
    }

    /**
     * Works on the accepted configurations: through nodes, or straight at the platform where the command line names it
     * or no node is known.
     */
    final int withGateway(Connection connection, GatewayAction work) throws Exception {
        boolean onlyPlatformKnown = connection.adminAddresses().isEmpty()
                && connection.platformAddress().isPresent();
        if (!connectionOptions.hasPlatformOption() && !onlyPlatformKnown) {
            try (AdminNodes nodes = nodes(connection)) {
                return work.run(new AdminGateway(nodes));
            }
        }
        Address platform = connection.platformAddress().orElseThrow();
        OperatorName operator = connection
                .operator()
                .orElseThrow(() -> usage(
                        "a change straight at the platform needs --operator NAME, which the audit trail will show"));
        try (PlatformClient client = PlatformClient.create(platform, connection.timeout())) {
            return work.run(new StoreGateway(client.configurationStore(), operator, Clock.systemUTC()));
        }
    }

    final CommandLine commandLine() {
        return command.commandLine();
    }

    final ParameterException usage(String message) {
        return new ParameterException(command.commandLine(), message);
    }

    /** Work on the accepted configurations that ends with an exit status. */
    @FunctionalInterface
    interface GatewayAction {
        int run(ConfigurationGateway gateway) throws Exception;
    }
}
