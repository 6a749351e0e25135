package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;

/**
 * The effect of a configuration change on one definition.
 *
 * @param type whether the definition is added, removed or changed
 * @param definition the definition, such as {@code service proof-board}
 * @param details one text for each key that differs, such as {@code max-running-tasks: 240 -> 120}; empty for a
 *     removal
 */
public record DefinitionChange(ChangeType type, String definition, ImmutableList<String> details) {
    /** Creates a change. */
    public DefinitionChange {
        checkNotNull(type, "type");
        checkNotNull(definition, "definition");
        checkNotNull(details, "details");
    }

    /** Returns a short description, such as {@code changed service proof-board (max-running-tasks)}. */
    public String summary() {
        String keys = details.stream()
                .map(detail -> detail.substring(0, detail.indexOf(':')))
                .collect(Collectors.joining(", "));
        String description = type.word() + " " + definition;
        return type == ChangeType.CHANGED ? description + " (" + keys + ")" : description;
    }
}
