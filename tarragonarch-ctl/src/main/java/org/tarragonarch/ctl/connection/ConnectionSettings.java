package org.tarragonarch.ctl.connection;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.settings.MistakeCollector;
import org.tarragonarch.settings.SettingsException;
import org.tarragonarch.settings.SettingsObject;
import org.tarragonarch.settings.SourceLocation;

/**
 * The settings file of the operator program.
 *
 * @param adminAddresses key {@code admin-addresses}
 * @param platformAddress key {@code platform-address}
 * @param operator key {@code operator}
 * @param tokenFile key {@code token-file}; a relative path is resolved against the folder of the settings file
 * @param callerAddress key {@code caller-address}
 * @param callerTokenFile key {@code caller-token-file}
 * @param timeout key {@code timeout}
 */
record ConnectionSettings(
        ImmutableList<Address> adminAddresses,
        Optional<Address> platformAddress,
        Optional<String> operator,
        Optional<Path> tokenFile,
        Optional<Address> callerAddress,
        Optional<Path> callerTokenFile,
        Optional<Duration> timeout) {
    static final ConnectionSettings NONE = new ConnectionSettings(
            ImmutableList.of(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());

    static ConnectionSettings read(Path file) throws SettingsException {
        MistakeCollector mistakes = new MistakeCollector();
        byte[] text = readFile(file, mistakes);
        mistakes.throwIfAny(file.toString());
        SettingsObject settings = SettingsObject.parse(file.toString(), text, mistakes);
        ConnectionSettings read = new ConnectionSettings(
                settings.addresses("admin-addresses"),
                settings.optionalAddress("platform-address"),
                settings.optionalText("operator"),
                settings.optionalText("token-file").map(file::resolveSibling),
                settings.optionalAddress("caller-address"),
                settings.optionalText("caller-token-file").map(file::resolveSibling),
                settings.optionalDuration("timeout"));
        settings.reportUnknownKeys();
        mistakes.throwIfAny(file.toString());
        return read;
    }

    private static byte[] readFile(Path file, MistakeCollector mistakes) {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            mistakes.add(new SourceLocation(file.toString(), 1), "file", "does not exist");
            return new byte[0];
        } catch (IOException e) {
            mistakes.add(new SourceLocation(file.toString(), 1), "file", "cannot be read: " + e);
            return new byte[0];
        }
    }
}
