package org.tarragonarch.ctl.command;

import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.settings.CatalogDifference;
import org.tarragonarch.settings.DefinitionChange;

/** Prints the difference between two configurations. */
final class DifferenceTable {
    private DifferenceTable() {}

    /** Prints a line for each definition, followed by an indented line for each key. */
    static void print(CatalogDifference difference, Output output) {
        if (output.isJson()) {
            output.printJson(table(difference).toJson());
            return;
        }
        for (DefinitionChange change : difference.changes()) {
            output.printLine(change.type().word() + " " + change.definition());
            change.details().forEach(detail -> output.printLine("    " + detail));
        }
    }

    static Table table(CatalogDifference difference) {
        Table table = Table.of("change", "definition", "details");
        difference
                .changes()
                .forEach(change ->
                        table.row(change.type().word(), change.definition(), String.join("; ", change.details())));
        return table;
    }
}
