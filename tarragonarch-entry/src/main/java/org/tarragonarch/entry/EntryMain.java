package org.tarragonarch.entry;

import org.tarragonarch.entry.log.LastingLogManager;
import picocli.CommandLine;

/** Starts the daemon {@code tarragonarch}. */
public final class EntryMain {
    private EntryMain() {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        // Before anything else, as the first logger fixes the log manager.
        LastingLogManager.install();
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new DaemonCommand());
    }
}
