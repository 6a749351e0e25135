package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Collects every mistake of some settings, so that all of them are reported at once.
 *
 * <p>Not safe for use by several threads.
 */
public final class MistakeCollector {
    private final List<Mistake> mistakes = new ArrayList<>();

    /** Adds a mistake without a suggestion. */
    public void add(SourceLocation place, String key, String problem) {
        add(place, key, problem, Optional.empty());
    }

    /** Adds a mistake, with what may have been meant where that is known. */
    public void add(SourceLocation place, String key, String problem, Optional<String> suggestion) {
        mistakes.add(new Mistake(place.file(), place.line(), key, problem, suggestion));
    }

    /** Returns whether there is no mistake so far. */
    public boolean isEmpty() {
        return mistakes.isEmpty();
    }

    /** Returns the mistakes by file, line and key. */
    public ImmutableList<Mistake> mistakes() {
        return ImmutableList.sortedCopyOf(
                Comparator.comparing(Mistake::file).thenComparing(Mistake::line).thenComparing(Mistake::key), mistakes);
    }

    /**
     * Throws if there is a mistake.
     *
     * @param source the file or folder that the error names as its peer
     * @throws SettingsException that holds every mistake
     */
    public void throwIfAny(String source) throws SettingsException {
        if (!isEmpty()) {
            throw new SettingsException(source, mistakes());
        }
    }
}
