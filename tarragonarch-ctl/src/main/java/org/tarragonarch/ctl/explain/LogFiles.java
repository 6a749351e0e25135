package org.tarragonarch.ctl.explain;

import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Reads the entries of several logs, in the order of their times.
 *
 * <p>Logs come as they are: the last line of a killed process is cut, and a runtime writes lines of its own between.
 * Such lines are passed over and counted.
 */
public final class LogFiles {
    private final List<LogEntry> entries = new ArrayList<>();
    private int skippedLines;

    /** Creates a reader that has read nothing. */
    public LogFiles() {}

    /** Reads a file, or the standard input where the path is {@code -}. */
    public void read(Path file) throws IOException {
        if (file.toString().equals("-")) {
            read(new BufferedReader(reader(System.in)));
            return;
        }
        try (BufferedReader lines = new BufferedReader(reader(Files.newInputStream(file)))) {
            read(lines);
        }
    }

    void read(BufferedReader lines) throws IOException {
        try {
            lines.lines().forEach(this::take);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Returns every entry, the earliest first. */
    ImmutableList<LogEntry> entries() {
        return ImmutableList.sortedCopyOf(Comparator.comparing(LogEntry::time), entries);
    }

    /** Returns how many lines were passed over. */
    int skippedLines() {
        return skippedLines;
    }

    private void take(String line) {
        Optional<LogEntry> entry = LogEntry.parse(line);
        if (entry.isPresent()) {
            entries.add(entry.get());
        } else if (!line.isBlank()) {
            skippedLines++;
        }
    }

    /** A log that was cut in the middle of a character is still worth reading. */
    private static InputStreamReader reader(InputStream in) {
        return new InputStreamReader(
                in,
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPLACE)
                        .onUnmappableCharacter(CodingErrorAction.REPLACE));
    }
}
