package org.tarragonarch.entry;

import org.tarragonarch.entry.log.LogSetup;
import picocli.CommandLine;

/** Starts the daemon {@code tarragonarch}. */
public final class EntryMain {
    private EntryMain() {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        // Before anything else, as the first logger fixes the log manager.
        LogSetup.prepare();
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new DaemonCommand());
    }
}
