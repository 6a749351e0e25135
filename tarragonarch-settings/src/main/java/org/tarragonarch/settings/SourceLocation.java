package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Where something stands in a settings file.
 *
 * @param file the file's name
 * @param line the line, from 1
 */
public record SourceLocation(String file, int line) {
    /** Checks that the file is named. */
    public SourceLocation {
        checkNotNull(file, "file");
    }

    @Override
    public String toString() {
        return file + ":" + line;
    }
}
