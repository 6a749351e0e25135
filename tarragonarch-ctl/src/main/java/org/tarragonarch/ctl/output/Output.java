package org.tarragonarch.ctl.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints results to the standard output, and notes and progress to the standard error. */
public final class Output {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORMAT",
            defaultValue = "text",
            description = "Output format: ${COMPLETION-CANDIDATES}; the default is ${DEFAULT-VALUE}.")
    private OutputFormat format;

    /** Returns whether results are printed as JSON. */
    public boolean isJson() {
        return format == OutputFormat.JSON;
    }

    /** Prints a table; as text, prints the message instead if the table has no rows. */
    public void printTable(Table table, String emptyMessage) {
        if (isJson()) {
            printJson(table.toJson());
        } else if (table.isEmpty()) {
            printLine(emptyMessage);
        } else {
            table.lines().forEach(this::printLine);
        }
    }

    /** Prints a JSON value. */
    public void printJson(JsonNode value) {
        printLine(value.toPrettyString());
    }

    /** Prints a line of the result. */
    public void printLine(String text) {
        out().println(text);
        out().flush();
    }

    /** Prints a line that is not part of the result, such as progress, to the standard error. */
    public void printNote(String text) {
        PrintWriter err = command.commandLine().getErr();
        err.println(text);
        err.flush();
    }

    private PrintWriter out() {
        return command.commandLine().getOut();
    }
}
