package org.tarragonarch.entry;

import java.net.BindException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import org.tarragonarch.entry.log.LogSetup;
import org.tarragonarch.entry.settings.NodeSettings;
import org.tarragonarch.model.outcome.StepException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs an entry node until it is drained. */
@Command(
        name = "tarragonarch",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        subcommands = {CheckCommand.class, ReplayCommand.class},
        description = {
            "Runs an entry node: takes requests and jobs from callers and places their tasks on endpoints.",
            "SIGTERM drains the node: it finishes its open submissions and exits with 0."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the node was drained and stopped",
            "1:the node failed",
            "2:the command line or the settings are invalid; no port was opened",
            "3:one of the node's ports is in use"
        })
final class DaemonCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", paramLabel = "FILE", description = "The node's settings file, JSON with comments.")
    private Path settings;

    @Override
    public Integer call() throws InterruptedException {
        if (settings == null) {
            throw new ParameterException(spec.commandLine(), "Missing required option: '--settings=FILE'");
        }
        Optional<NodeSettings> read =
                SettingsOption.read(settings, spec.commandLine().getErr());
        return read.isPresent() ? run(read.get()) : ExitCode.USAGE;
    }

    private int run(NodeSettings node) throws InterruptedException {
        LogSetup log = LogSetup.install(node.node(), Level.INFO);
        Daemon daemon;
        try {
            daemon = Daemon.start(node);
        } catch (StepException e) {
            log.flush();
            spec.commandLine().getErr().println("tarragonarch: " + e.peer() + ": " + e.getMessage());
            return e.getCause() instanceof BindException ? ExitCode.PORT_TAKEN : ExitCode.FAILURE;
        }
        Thread hook = new Thread(() -> drainAndExit(daemon, log), "leave");
        Runtime.getRuntime().addShutdownHook(hook);
        daemon.awaitLeft();
        return ExitCode.OK;
    }

    // The JVM reports the signal as the exit code of a process that a signal ends. A successful drain must report 0, so
    // this shutdown hook halts the process itself. No other hook has work that must finish.
    private static void drainAndExit(Daemon daemon, LogSetup log) {
        boolean left = daemon.drainAndStop("the process received a termination signal");
        log.flush();
        Runtime.getRuntime().halt(left ? ExitCode.OK : ExitCode.FAILURE);
    }
}
