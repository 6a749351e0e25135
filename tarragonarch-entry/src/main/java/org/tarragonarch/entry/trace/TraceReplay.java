package org.tarragonarch.entry.trace;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.node.EntryNode;

/** Runs a node again from its trace: the same events at the same times give the same actions. */
public final class TraceReplay {
    private TraceReplay() {}

    /**
     * Replays a file.
     *
     * @param file the trace
     * @param steps takes each event with the actions that it gave, in order
     * @return how many events were replayed
     * @throws IOException if the file cannot be read or is not a trace
     */
    public static long replay(Path file, ReplayListener steps) throws IOException {
        try (BufferedReader lines = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            String header = lines.readLine();
            if (header == null) {
                throw new IOException(file + " is empty");
            }
            EntryNode node = TraceJson.read(header, TraceHeader.class).newNode();
            long events = 0;
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                TraceLine line = TraceJson.read(text, TraceLine.class);
                node.handle(line.nanos(), line.event(), action -> steps.onAction(line, action));
                events++;
            }
            return events;
        }
    }

    /** Returns an action as one line of JSON. */
    public static String toJson(Action action) throws IOException {
        return TraceJson.write(action);
    }

    /** Takes what a replay gives. */
    @FunctionalInterface
    public interface ReplayListener {
        /** Takes one action and the event that gave it. */
        void onAction(TraceLine line, Action action);
    }
}
