package org.tarragonarch.entry;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.tarragonarch.entry.settings.NodeSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Validates a settings file without starting a node. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        description = "Validates a settings file and lists every mistake in it. Does not start a node.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the settings are valid", "2:the settings or the command line are invalid"})
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "The node's settings.")
    private Path settings;

    @Override
    public Integer call() {
        Optional<NodeSettings> read =
                SettingsOption.read(settings, spec.commandLine().getErr());
        read.ifPresent(node -> spec.commandLine()
                .getOut()
                .println(settings + ": valid, node " + node.node() + " in failure domain " + node.domain()));
        return read.isPresent() ? ExitCode.OK : ExitCode.USAGE;
    }
}
