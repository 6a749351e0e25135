package org.tarragonarch.ctl.connection;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The options that say where the system is; each goes before the same key of the settings file.
 *
 * <p>Tokens come from files or the environment and never from the command line, where other users of the machine could
 * read them.
 */
public final class ConnectionOptions {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            defaultValue = "${env:TARRAGONCTL_SETTINGS}",
            description = "Settings file (JSON with comments): admin-addresses, platform-address, operator, token-file,"
                    + " caller-address, caller-token-file, timeout. Also from the environment, TARRAGONCTL_SETTINGS.")
    private Path settingsFile;

    @Option(
            names = "--admin",
            paramLabel = "IP:PORT",
            split = ",",
            description = "Administration addresses of nodes, best some of each failure domain.")
    private List<Address> adminAddresses;

    @Option(names = "--platform", paramLabel = "IP:PORT", description = "Address of the platform.")
    private Address platformAddress;

    @Option(names = "--operator", paramLabel = "NAME", description = "Your name, for changes through the platform.")
    private OperatorName operator;

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            description =
                    "File that holds your operator token; without it, the environment variable TARRAGONCTL_TOKEN.")
    private Path tokenFile;

    @Option(
            names = "--timeout",
            paramLabel = "DURATION",
            description = "How long one call may take, such as 3s, which it is unless stated.")
    private Duration timeout;

    /** Returns whether the platform was named on the command line, so that nodes are passed by. */
    public boolean hasPlatformOption() {
        return platformAddress != null;
    }

    /**
     * Returns the connection that the options, the settings file and the environment make together.
     *
     * @throws SettingsException if the settings file holds mistakes
     */
    public Connection read() throws SettingsException {
        ConnectionSettings settings =
                settingsFile == null ? ConnectionSettings.NONE : ConnectionSettings.read(settingsFile);
        return new Connection(
                adminAddresses == null ? settings.adminAddresses() : ImmutableList.copyOf(adminAddresses),
                Optional.ofNullable(platformAddress).or(settings::platformAddress),
                Optional.ofNullable(operator).or(() -> settings.operator().map(this::operatorName)),
                token("TARRAGONCTL_TOKEN", Optional.ofNullable(tokenFile), settings.tokenFile()),
                settings.callerAddress(),
                token("TARRAGONCTL_CALLER_TOKEN", Optional.empty(), settings.callerTokenFile()),
                Optional.ofNullable(timeout).or(settings::timeout).orElse(DEFAULT_TIMEOUT));
    }

    private OperatorName operatorName(String text) {
        try {
            return OperatorName.of(text);
        } catch (IllegalArgumentException e) {
            throw usage("operator in " + settingsFile + ": " + e.getMessage());
        }
    }

    private Optional<String> token(String variable, Optional<Path> fromOption, Optional<Path> fromSettings) {
        String fromEnvironment = System.getenv(variable);
        if (fromOption.isEmpty() && fromEnvironment != null && !fromEnvironment.isBlank()) {
            return Optional.of(fromEnvironment.strip());
        }
        return fromOption.or(() -> fromSettings).map(file -> TokenFile.read(file, command.commandLine()));
    }

    private ParameterException usage(String message) {
        return new ParameterException(command.commandLine(), message);
    }
}
