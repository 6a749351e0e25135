package org.tarragonarch.settings;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.settings.SettingsValue.ObjectValue;

/** The keys of one object of settings: which stand there, which were asked for, and the mistakes at them. */
final class SettingsKeys {
    private final ObjectValue value;
    private final String path;
    private final MistakeCollector mistakes;
    private final Set<String> asked = new LinkedHashSet<>();

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

    /** Returns the path of a key from the root. */
    String pathOf(String key) {
        return SettingsObject.join(path, key);
    }

    /** Returns whether the key stands here, without counting as reading it. */
    boolean contains(String key) {
        return value.children().containsKey(key);
    }

    /** Returns whether the key stands here; asking counts as reading it. */
    boolean has(String key) {
        asked.add(key);
        return contains(key);
    }

    /** Returns the value of the key; asking counts as reading it. */
    Optional<SettingsValue> child(String key) {
        asked.add(key);
        return Optional.ofNullable(value.children().get(key));
    }

    /** Returns where the key stands, or where the object starts if the key is missing. */
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

    /** Records a mistake at a place within the value of a key. */
    void addMistakeAt(SourceLocation place, String key, String problem) {
        mistakes.add(place, pathOf(key), problem);
    }

    /** Records a mistake at every key that was never asked for, with the asked key it may have been meant to be. */
    void reportUnknownKeys() {
        for (String key : value.children().keySet()) {
            if (!asked.contains(key)) {
                addMistake(key, "is not a known key", SpellingSuggestion.of(key, asked));
            }
        }
    }
}
