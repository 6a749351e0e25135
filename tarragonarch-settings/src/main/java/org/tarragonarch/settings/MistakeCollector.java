package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Collects the mistakes in settings, so that all of them are reported together.
 *
 * <p>Not safe for use by several threads.
 */
public final class MistakeCollector {
    private final List<Mistake> mistakes = new ArrayList<>();

    /** Adds a mistake without a suggestion. */
    public void add(SourceLocation location, String key, String problem) {
        add(location, key, problem, Optional.empty());
    }

    /** Adds a mistake, optionally with the word that may have been meant. */
    public void add(SourceLocation location, String key, String problem, Optional<String> suggestion) {
        mistakes.add(new Mistake(location.file(), location.line(), key, problem, suggestion));
    }

    /** Returns whether no mistake was added. */
    public boolean isEmpty() {
        return mistakes.isEmpty();
    }

    /** Returns the mistakes, sorted by file, line and key. */
    public ImmutableList<Mistake> mistakes() {
        return ImmutableList.sortedCopyOf(
                Comparator.comparing(Mistake::file).thenComparing(Mistake::line).thenComparing(Mistake::key), mistakes);
    }

    /**
     * Throws if a mistake was added.
     *
     * @param source the file or folder reported as the peer of the exception
     * @throws SettingsException if a mistake was added; it holds all mistakes
     */
    public void throwIfAny(String source) throws SettingsException {
        if (!isEmpty()) {
            throw new SettingsException(source, mistakes());
        }
    }
}
