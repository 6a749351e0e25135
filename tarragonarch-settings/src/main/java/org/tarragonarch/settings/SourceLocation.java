package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A line of a settings file.
 *
 * @param file the file name
 * @param line the line number, from 1
 */
public record SourceLocation(String file, int line) {
    /** Creates a location. */
    public SourceLocation {
        checkNotNull(file, "file");
    }

    @Override
    public String toString() {
        return file + ":" + line;
    }
}
