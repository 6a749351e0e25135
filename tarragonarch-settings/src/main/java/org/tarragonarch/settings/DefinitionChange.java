package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;

/**
 * What a change of the configuration does to one definition.
 *
 * @param type whether the definition is added, removed or changed
 * @param definition what it concerns, such as {@code service proof-board}
 * @param details the keys concerned, in words, such as {@code max-running-tasks: 240 -> 120};
 *     none for a removal
 */
public record DefinitionChange(ChangeType type, String definition, ImmutableList<String> details) {
    /** Checks the parts. */
    public DefinitionChange {
        checkNotNull(type, "verb");
        checkNotNull(definition, "definition");
        checkNotNull(details, "details");
    }

    /** Returns the change in a few words, such as {@code changed service proof-board (max-running-tasks)}. */
    public String summary() {
        String keys = details.stream()
                .map(detail -> detail.substring(0, detail.indexOf(':')))
                .collect(Collectors.joining(", "));
        String concerned = type.word() + " " + definition;
        return type == ChangeType.CHANGED ? concerned + " (" + keys + ")" : concerned;
    }
}
