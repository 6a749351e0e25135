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

    /** Returns the nodes of a connection, which the caller must close. */
    final AdminNodes nodes(Connection connection) {
        return nodes(connection, connection.timeout());
    }

    final AdminNodes nodes(Connection connection, Duration timeout) {
        if (connection.adminAddresses().isEmpty()) {
            throw usage("no administration address: give --admin IP:PORT, or admin-addresses in a --settings file");
        }
        if (connection.operatorToken().isEmpty()) {
            throw usage("no operator token: give --token-file FILE, token-file in a --settings file, or the"
                    + " environment variable TARRAGONCTL_TOKEN");
        }
        return AdminNodes.create(connection, timeout);
    }

    /**
     * Runs an action with access to the accepted configurations, and returns its exit status. Access is through nodes,
     * or directly at the platform if the command line names it or no administration address is known.
     */
    final int withGateway(Connection connection, GatewayAction action) throws Exception {
        boolean onlyPlatformKnown = connection.adminAddresses().isEmpty()
                && connection.platformAddress().isPresent();
        if (!connectionOptions.hasPlatformOption() && !onlyPlatformKnown) {
            try (AdminNodes nodes = nodes(connection)) {
                return action.run(new AdminGateway(nodes));
            }
        }
        Address platform = connection.platformAddress().orElseThrow();
        OperatorName operator = connection
                .operator()
                .orElseThrow(() ->
                        usage("access at the platform needs --operator NAME, which is recorded in the audit trail"));
        try (PlatformClient client = PlatformClient.create(platform, connection.timeout())) {
            return action.run(new StoreGateway(client.configurationStore(), operator, Clock.systemUTC()));
        }
    }

    final CommandLine commandLine() {
        return command.commandLine();
    }

    final ParameterException usage(String message) {
        return new ParameterException(command.commandLine(), message);
    }

    /** An action on the accepted configurations that returns an exit status. */
    @FunctionalInterface
    interface GatewayAction {
        int run(ConfigurationGateway gateway) throws Exception;
    }
}
