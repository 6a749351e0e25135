package org.tarragonarch.settings;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.settings.SettingsValue.ObjectValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/**
 * Merges the objects of several files: objects key by key, later scalars and lists replace, null removes.
 *
 * <p>Each value of the result has the location of the last file that set it.
 */
final class ConfigurationMerger {
    private final MistakeCollector mistakes;

    ConfigurationMerger(MistakeCollector mistakes) {
        this.mistakes = mistakes;
    }

    /** Returns the earlier object overridden by the later one. */
    ObjectValue merge(ObjectValue earlier, ObjectValue later) {
        return merge(earlier, later, "");
    }

    private ObjectValue merge(ObjectValue earlier, ObjectValue later, String path) {
        Map<String, SettingsValue> merged = new LinkedHashMap<>(earlier.children());
        later.children().forEach((key, value) -> mergeEntry(merged, key, value, SettingsObject.join(path, key)));
        return new ObjectValue(later.location(), ImmutableMap.copyOf(merged));
    }

    private void mergeEntry(Map<String, SettingsValue> merged, String key, SettingsValue value, String path) {
        SettingsValue earlier = merged.get(key);
        if (value instanceof ScalarValue scalar && scalar.isNull()) {
            if (merged.remove(key) == null) {
                // A null that removes nothing is probably misspelt, and the key to be removed would stay in force.
                mistakes.add(
                        value.location(),
                        path,
                        "is null, which removes a key, but no earlier file has this key",
                        SpellingSuggestion.of(key, merged.keySet()));
            }
        } else if (value instanceof ObjectValue object) {
            ObjectValue base =
                    earlier instanceof ObjectValue found ? found : new ObjectValue(value.location(), ImmutableMap.of());
            merged.put(key, merge(base, object, path));
        } else {
            merged.put(key, value);
        }
    }
}
