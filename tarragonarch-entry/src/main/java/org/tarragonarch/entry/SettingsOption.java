package org.tarragonarch.entry;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import org.tarragonarch.entry.settings.NodeSettings;
import org.tarragonarch.entry.settings.NodeSettingsReader;
import org.tarragonarch.settings.SettingsException;

/** Reads the settings file that the command line names and reports its mistakes. */
final class SettingsOption {
    private SettingsOption() {}

    /** Returns the settings; empty if they cannot be used, after saying why. */
    static Optional<NodeSettings> read(Path file, PrintWriter errors) {
        try {
            return Optional.of(NodeSettingsReader.read(file));
        } catch (SettingsException e) {
            e.mistakes().forEach(errors::println);
        } catch (IOException e) {
            errors.println(file + ": cannot be read: " + e.getMessage());
        }
        errors.flush();
        return Optional.empty();
    }
}
