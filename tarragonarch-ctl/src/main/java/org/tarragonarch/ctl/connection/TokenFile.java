package org.tarragonarch.ctl.connection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;

/** Reads files that contain a secret token. */
public final class TokenFile {
    private TokenFile() {}

    /**
     * Reads a token, without surrounding white space.
     *
     * @param file the path of the file
     * @param command the command that needs the token
     * @throws ParameterException if the file is missing, unreadable or empty; the message never contains its content
     */
    public static String read(Path file, CommandLine command) {
        try {
            String token = Files.readString(file).strip();
            if (token.isEmpty()) {
                throw new ParameterException(command, "the token file " + file + " is empty");
            }
            return token;
        } catch (NoSuchFileException e) {
            throw new ParameterException(command, "the token file " + file + " does not exist", e);
        } catch (IOException e) {
            throw new ParameterException(command, "the token file " + file + " cannot be read: " + e, e);
        }
    }
}
