package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.concurrent.Callable;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.output.Table;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.settings.CheckedConfiguration;
import org.tarragonarch.settings.Mistake;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Checks a configuration folder without calling a node. */
@Command(name = "check", description = "Reports every mistake in a configuration folder; calls no node.")
final class CheckCommand implements Callable<Integer> {
    @Mixin
    private FolderArgument folder;

    @Mixin
    private Output output;

    @Override
    public Integer call() throws SettingsException {
        try {
            printSummary(folder.read());
            return ExitCode.OK.number();
        } catch (SettingsException e) {
            if (!output.isJson()) {
                throw e;
            }
            output.printJson(mistakes(e).toJson());
            return ExitCode.USAGE.number();
        }
    }

    private void printSummary(CheckedConfiguration checked) {
        ServiceCatalog catalog = checked.catalog();
        if (output.isJson()) {
            output.printJson(JsonNodeFactory.instance.arrayNode());
            return;
        }
        output.printLine(checked.files().size() + " file(s) without mistakes: " + String.join(", ", checked.files()));
        output.printLine(
                catalog.services().size() + " service(s), " + catalog.teams().size() + " team(s), "
                        + catalog.callers().size() + " caller(s), "
                        + catalog.operators().size() + " operator(s); digest " + checked.digest());
    }

    private static Table mistakes(SettingsException e) {
        Table table = Table.of("file", "line", "key", "problem", "suggestion");
        for (Mistake mistake : e.mistakes()) {
            table.row(
                    mistake.file(),
                    mistake.line(),
                    mistake.key(),
                    mistake.problem(),
                    mistake.suggestion().orElse(""));
        }
        return table;
    }
}
