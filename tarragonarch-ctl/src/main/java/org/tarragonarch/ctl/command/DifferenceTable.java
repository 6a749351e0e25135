package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.settings.CatalogDifference;
import org.tarragonarch.settings.DefinitionChange;

/** Prints what a change of the configuration does. */
final class DifferenceTable {
    private DifferenceTable() {}

    /** Prints one line for each definition and, indented, one for each key. */
    static void print(CatalogDifference difference, Output output) {
        if (output.json()) {
            output.value(table(difference).toJson());
            return;
        }
        for (DefinitionChange change : difference.changes()) {
            output.line(change.verb().word() + " " + change.definition());
            change.details().forEach(detail -> output.line("    " + detail));
        }
    }

    static Table table(CatalogDifference difference) {
        Table table = Table.of("change", "definition", "details");
        difference
                .changes()
                .forEach(change ->
                        table.row(change.verb().word(), change.definition(), String.join("; ", change.details())));
        return table;
    }
}
