package org.tarragonarch.entry.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.node.EntryNode;

/** Replays a trace: the same events at the same times yield the same actions. */
public final class TraceReplay {
    private TraceReplay() {}

    /**
     * Replays a trace file.
     *
     * @param file the trace file
     * @param listener receives each action with its event, in order
     * @return the number of events
     * @throws IOException if the file cannot be read or is not a trace
     */
    public static long replay(Path file, ReplayListener listener) throws IOException {
        try (BufferedReader lines = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            String header = lines.readLine();
            if (header == null) {
                throw new IOException(file + " is empty");
            }
            EntryNode node = TraceJson.read(header, TraceHeader.class).newNode();
            long events = 0;
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                TraceLine line = TraceJson.read(text, TraceLine.class);
                node.handle(line.nanos(), line.event(), action -> listener.onAction(line, action));
                events++;
            }
            return events;
        }
    }

    /** Converts an action to one line of JSON. */
    public static String toJson(Action action) throws IOException {
        return TraceJson.write(action);
    }

    /** Receives the actions of a replay. */
    @FunctionalInterface
    public interface ReplayListener {
        /** Called for each action, with the event that caused it. */
        void onAction(TraceLine line, Action action);
    }
}
