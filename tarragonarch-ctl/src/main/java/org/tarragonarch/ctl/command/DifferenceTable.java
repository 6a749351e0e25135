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
