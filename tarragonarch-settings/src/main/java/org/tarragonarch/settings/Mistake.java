package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A mistake in a settings file.
 *
 * @param file the file name
 * @param line the line number, from 1
 * @param key the path of the key, such as {@code services.proof-board.kinds}
 * @param problem the problem, in words that follow the key
 * @param suggestion the word that may have been meant
 */
public record Mistake(String file, int line, String key, String problem, Optional<String> suggestion) {
    /** Creates a mistake. */
    public Mistake {
        checkNotNull(file, "file");
        checkNotNull(key, "key");
        checkNotNull(problem, "problem");
        checkNotNull(suggestion, "suggestion");
    }

    /** Returns the mistake as one line, {@code file:line: key: problem; did you mean 'suggestion'?}. */
    @Override
    public String toString() {
        String hint = suggestion.map(meant -> "; did you mean '" + meant + "'?").orElse("");
        return file + ":" + line + ": " + key + ": " + problem + hint;
    }
}
