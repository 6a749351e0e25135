package org.tarragonarch.entry;

import org.tarragonarch.entry.log.LogSetup;
import picocli.CommandLine;

/** The entry point of the {@code tarragonarch} daemon. */
public final class EntryMain {
    private EntryMain() {}

    /** Runs the command line and exits with its exit code. */
    public static void main(String[] args) {
        // Must come first: the first logger that is created fixes the log manager.
        LogSetup.prepare();
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new DaemonCommand());
    }
}
