package org.tarragonarch.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What a change of the configuration does to one definition.
 *
 * @param verb whether the definition is added, removed or changed
 * @param definition what it concerns, such as {@code service proof-board}
 * @param details the keys concerned, in words, such as {@code max-running-tasks: 240 -> 120};
 *     none for a removal
 */
public record DefinitionChange(ChangeVerb verb, String definition, ImmutableList<String> details) {
    /** Checks the parts. */
    public DefinitionChange {
        checkNotNull(verb, "verb");
        checkNotNull(definition, "definition");
        checkNotNull(details, "details");
    }
}
