package org.tarragonarch.ctl.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints results to the standard output, and progress and notes to the standard error. */
public final class Output {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORMAT",
            defaultValue = "text",
            description = "How results are printed: ${COMPLETION-CANDIDATES}; ${DEFAULT-VALUE} unless stated.")
    private OutputFormat format;

    /** Returns whether results are printed as JSON. */
    public boolean isJson() {
        return format == OutputFormat.JSON;
    }

    /** Prints a table, or a sentence in its place where it has no row. */
    public void printTable(Table table, String sentenceIfEmpty) {
        if (isJson()) {
            printJson(table.toJson());
        } else if (table.isEmpty()) {
            printLine(sentenceIfEmpty);
        } else {
            table.lines().forEach(this::printLine);
        }
    }

    /** Prints one JSON value. */
    public void printJson(JsonNode value) {
        printLine(value.toPrettyString());
    }

    /** Prints one line of a result. */
    public void printLine(String text) {
        out().println(text);
        out().flush();
    }

    /** Prints one line of progress, or a note, that is no part of the result. */
    public void printNote(String text) {
        PrintWriter err = command.commandLine().getErr();
        err.println(text);
        err.flush();
    }

    private PrintWriter out() {
        return command.commandLine().getOut();
    }
}
