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
 * The options for the connection; each takes precedence over the corresponding key of the settings file.
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
            description = "Administration addresses of nodes, preferably some in each failure domain.")
    private List<Address> adminAddresses;

    @Option(names = "--platform", paramLabel = "IP:PORT", description = "Address of the platform.")
    private Address platformAddress;

    @Option(
            names = "--operator",
            paramLabel = "NAME",
            description = "Your operator name, for changes made at the platform.")
    private OperatorName operator;

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            description = "File with your operator token; the default is the environment variable TARRAGONCTL_TOKEN.")
    private Path tokenFile;

    @Option(names = "--timeout", paramLabel = "DURATION", description = "Timeout of a call; the default is 3s.")
    private Duration timeout;

    /** Returns whether the command line has a platform address, in which case nodes are not called. */
    public boolean hasPlatformOption() {
        return platformAddress != null;
    }

    /**
     * Returns the connection defined by the options, the settings file and the environment.
     *
     * @throws SettingsException if the settings file has mistakes
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
