package org.tarragonarch.entry;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import org.tarragonarch.entry.settings.NodeSettings;
import org.tarragonarch.entry.settings.NodeSettingsReader;
import org.tarragonarch.settings.SettingsException;

/** Reads the settings file given on the command line. */
final class SettingsOption {
    private SettingsOption() {}

    /** Returns the settings, or empty after printing why the file cannot be read or is invalid. */
    static Optional<NodeSettings> read(Path file, PrintWriter errors) {
        try {
            return Optional.of(NodeSettingsReader.read(file));
        } catch (SettingsException e) {
            e.mistakes().forEach(errors::println);
        } catch (IOException e) {
            errors.println(file + ": cannot read: " + e.getMessage());
        }
        errors.flush();
        return Optional.empty();
    }
}
