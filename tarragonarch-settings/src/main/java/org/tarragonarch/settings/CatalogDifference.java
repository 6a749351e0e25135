package org.tarragonarch.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tarragonarch.model.service.ServiceCatalog;

/** The difference between two catalogs, as one change for each definition that differs. */
public final class CatalogDifference {
    private final ImmutableList<DefinitionChange> changes;

    private CatalogDifference(ImmutableList<DefinitionChange> changes) {
        this.changes = changes;
    }

    /** Returns the difference between two catalogs; without an earlier one, every definition is added. */
    public static CatalogDifference between(Optional<ServiceCatalog> earlier, ServiceCatalog later) {
        ImmutableMap<String, ImmutableSortedMap<String, String>> before =
                earlier.map(DefinitionProperties::of).orElse(ImmutableMap.of());
        ImmutableMap<String, ImmutableSortedMap<String, String>> after = DefinitionProperties.of(later);
        ImmutableList.Builder<DefinitionChange> changes = ImmutableList.builder();
        for (String definition : ImmutableSortedSet.copyOf(Sets.union(before.keySet(), after.keySet()))) {
            compare(definition, Optional.ofNullable(before.get(definition)), Optional.ofNullable(after.get(definition)))
                    .ifPresent(changes::add);
        }
        return new CatalogDifference(changes.build());
    }

    /** Returns the changes, sorted by definition. */
    public ImmutableList<DefinitionChange> changes() {
        return changes;
    }

    /** Returns whether the two catalogs have the same definitions. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** Returns the changes as one line for the audit trail. */
    public String summary() {
        if (isEmpty()) {
            return "no change";
        }
        return changes.stream().map(DefinitionChange::summary).collect(Collectors.joining(", "));
    }

    private static Optional<DefinitionChange> compare(
            String definition,
            Optional<ImmutableSortedMap<String, String>> before,
            Optional<ImmutableSortedMap<String, String>> after) {
        if (before.equals(after)) {
            return Optional.empty();
        }
        ChangeType type =
                before.isEmpty() ? ChangeType.ADDED : after.isEmpty() ? ChangeType.REMOVED : ChangeType.CHANGED;
        if (type == ChangeType.REMOVED) {
            return Optional.of(new DefinitionChange(type, definition, ImmutableList.of()));
        }
        Map<String, String> old = before.orElse(ImmutableSortedMap.of());
        Map<String, String> now = after.orElse(ImmutableSortedMap.of());
        ImmutableList.Builder<String> details = ImmutableList.builder();
        for (String key : ImmutableSortedSet.copyOf(Sets.union(old.keySet(), now.keySet()))) {
            detail(key, old.get(key), now.get(key)).ifPresent(details::add);
        }
        return Optional.of(new DefinitionChange(type, definition, details.build()));
    }

    private static Optional<String> detail(String key, String before, String after) {
        if (before == null) {
            return Optional.of(key + ": " + after);
        }
        if (after == null) {
            return Optional.of(key + ": was " + before);
        }
        return before.equals(after) ? Optional.empty() : Optional.of(key + ": " + before + " -> " + after);
    }
}
