package org.tarragonarch.entry.cluster;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.outcome.StepException;

/** Main class of a node on the users' platform. */
public final class ClusterMain {
    /** The exit code for invalid arguments or settings. */
    private static final int EXIT_USAGE = 2;

    /** The exit code if a listening address cannot be bound. */
    private static final int EXIT_START = 3;

    private ClusterMain() {}

    /**
     * Runs a node until the process is asked to stop.
     *
     * @param arguments one element, the path of the settings file
     */
    public static void main(String[] arguments) {
        ReloadSignal reloads = ReloadSignal.install();
        if (arguments.length != 1) {
            System.err.println("usage: ClusterMain SETTINGS-FILE");
            System.exit(EXIT_USAGE);
        }
        LibraryLoggers.useJdkLogging();
        Path file = Path.of(arguments[0]);
        ClusterSettings settings = readOrExit(file);
        try {
            ClusterNode node = start(file, settings, reloads, System.out);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndWait(node), "leave"));
        } catch (StepException e) {
            System.err.println(e.step().word() + " " + e.peer() + ": " + e.getMessage());
            System.exit(EXIT_START);
        }
    }

    /**
     * Starts a node in this process.
     *
     * @param reloads the signals at which the settings are read again
     * @param out the stream for the log
     * @throws StepException if a listening address cannot be bound
     */
    static ClusterNode start(Path file, ClusterSettings settings, ReloadSignal reloads, PrintStream out)
            throws StepException {
        DecisionLog log = new DecisionLog(settings.node().value(), out);
        log.start();
        ClusterNode node = new ClusterNode(settings, log);
        node.start();
        reloads.setTask(() -> reload(file, settings, log));
        return node;
    }

    /** Validates the changed settings file and logs the result; changes take effect at the next start. */
    private static void reload(Path file, ClusterSettings current, DecisionLog log) {
        try {
            boolean same = ClusterSettings.read(file).equals(current);
            log.write(NodeEvent.SETTINGS_READ_AGAIN, "same", same);
        } catch (StepException e) {
            log.write(NodeEvent.SETTINGS_UNREADABLE, "reason", e.getMessage());
        }
    }

    /** Blocks the shutdown hook while the node leaves; {@link NodeShutdown} ends the process. */
    private static void leaveAndWait(ClusterNode node) {
        node.leave();
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ClusterSettings readOrExit(Path file) {
        try {
            return ClusterSettings.read(file);
        } catch (StepException e) {
            System.err.println(e.step().word() + " " + e.peer() + ": " + e.getMessage());
            System.exit(EXIT_USAGE);
            throw new AssertionError("not reached", e);
        }
    }
}
