package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * One mistake in a settings file, reported so that it can be found and mended.
 *
 * @param file the file's name
 * @param line the line, from 1
 * @param key the path of the key, such as {@code services.proof-board.kinds}
 * @param problem what is wrong
 * @param suggestion what may have been meant
 */
public record Mistake(String file, int line, String key, String problem, Optional<String> suggestion) {
    /** Checks the parts. */
    public Mistake {
        checkNotNull(file, "file");
        checkNotNull(key, "key");
        checkNotNull(problem, "problem");
        checkNotNull(suggestion, "suggestion");
    }

    /** Returns the mistake in one line, {@code file:line: key: problem; did you mean 'suggestion'?}. */
    @Override
    public String toString() {
        String hint = suggestion.map(meant -> "; did you mean '" + meant + "'?").orElse("");
        return file + ":" + line + ": " + key + ": " + problem + hint;
    }
}
