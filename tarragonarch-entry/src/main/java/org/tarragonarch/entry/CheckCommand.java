package org.tarragonarch.entry;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.tarragonarch.entry.settings.NodeSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Checks a settings file and starts nothing. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        description = "Checks a settings file, names every mistake in it, and starts nothing.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the settings can be used", "2:they have mistakes, or the command line has"})
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
                .println(settings + ": in order, node " + node.node() + " in " + node.domain()));
        return read.isPresent() ? ExitCode.OK : ExitCode.USAGE;
    }
}
