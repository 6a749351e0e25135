package org.tarragonarch.entry;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.entry.trace.TraceReplay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Replays a recorded trace and prints the actions of the node. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        description = "Replays the events of a trace (setting \"trace-file\") on a new node and prints each action"
                + " as one line: the event's time in nanoseconds, the event's type, the action as JSON.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the whole trace was replayed", "1:the file cannot be read or is not a trace"})
final class ReplayCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The trace file.")
    private Path file;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        try {
            long events = TraceReplay.replay(
                    file,
                    (line, action) -> out.println(
                            line.nanos() + " " + line.event().getClass().getSimpleName() + " " + json(action)));
            out.println("events=" + events);
            out.flush();
            return ExitCode.OK;
        } catch (IOException | UncheckedIOException e) {
            out.flush();
            spec.commandLine().getErr().println(file + ": cannot replay: " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    private static String json(Action action) {
        try {
            return TraceReplay.toJson(action);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
