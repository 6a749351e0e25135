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
 * Reads the entries of several logs and sorts them by time.
 *
 * <p>Lines that are not entries are skipped and counted: the last line of a killed process may be truncated, and the
 * runtime may write its own messages.
 */
public final class LogFiles {
    private final List<LogEntry> entries = new ArrayList<>();
    private int skippedLines;

    /** Creates a reader without entries. */
    public LogFiles() {}

    /** Reads a file, or the standard input if the path is {@code -}. */
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
            lines.lines().forEach(this::addLine);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Returns all entries, the earliest first. */
    ImmutableList<LogEntry> entries() {
        return ImmutableList.sortedCopyOf(Comparator.comparing(LogEntry::time), entries);
    }

    /** Returns the number of skipped lines. */
    int skippedLines() {
        return skippedLines;
    }

    private void addLine(String line) {
        Optional<LogEntry> entry = LogEntry.parse(line);
        if (entry.isPresent()) {
            entries.add(entry.get());
        } else if (!line.isBlank()) {
            skippedLines++;
        }
    }

    /** Returns a reader that replaces malformed input, since a log may be truncated within a character. */
    private static InputStreamReader reader(InputStream in) {
        return new InputStreamReader(
                in,
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPLACE)
                        .onUnmappableCharacter(CodingErrorAction.REPLACE));
    }
}
