package org.tarragonarch.settings;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.settings.SettingsValue.ObjectValue;

/** The keys of a settings object; tracks which ones are read and records mistakes at them. */
final class SettingsKeys {
    private final ObjectValue value;
    private final String path;
    private final MistakeCollector mistakes;
    private final Set<String> readKeys = new LinkedHashSet<>();

    SettingsKeys(ObjectValue value, String path, MistakeCollector mistakes) {
        this.value = value;
        this.path = path;
        this.mistakes = mistakes;
    }

    String path() {
        return path;
    }

    MistakeCollector mistakes() {
        return mistakes;
    }

    Set<String> names() {
        return value.children().keySet();
    }

    /** Returns the path of a key from the root, such as {@code services.proof-board}. */
    String pathOf(String key) {
        return SettingsObject.join(path, key);
    }

    /** Returns whether the key is present, without marking it as read. */
    boolean contains(String key) {
        return value.children().containsKey(key);
    }

    /** Returns whether the key is present, and marks it as read. */
    boolean has(String key) {
        readKeys.add(key);
        return contains(key);
    }

    /** Returns the value of the key, and marks the key as read. */
    Optional<SettingsValue> child(String key) {
        readKeys.add(key);
        return Optional.ofNullable(value.children().get(key));
    }

    /** Returns the location of the key, or of the start of the object if the key is missing. */
    SourceLocation location(String key) {
        SettingsValue child = value.children().get(key);
        return child == null ? value.location() : child.location();
    }

    void addMistake(String key, String problem) {
        addMistake(key, problem, Optional.empty());
    }

    void addMistake(String key, String problem, Optional<String> suggestion) {
        mistakes.add(location(key), pathOf(key), problem, suggestion);
    }

    /** Records a mistake at a location within the value of a key. */
    void addMistakeAt(SourceLocation location, String key, String problem) {
        mistakes.add(location, pathOf(key), problem);
    }

    /** Records a mistake at every key that was not read, with the key that may have been meant. */
    void reportUnknownKeys() {
        for (String key : value.children().keySet()) {
            if (!readKeys.contains(key)) {
                addMistake(key, "is not a known key", SpellingSuggestion.of(key, readKeys));
            }
        }
    }
}
