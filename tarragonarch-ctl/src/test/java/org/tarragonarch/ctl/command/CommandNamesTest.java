package org.tarragonarch.ctl.command;

import static org.testng.Assert.assertEquals;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;

/** Guards against a rename in Java that changes a command, option, argument or exit code. */
public final class CommandNamesTest {
    private static final Joiner LINES = Joiner.on('\n');

    @Test
    public void testCommands_matchList() throws IOException {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        addCommand(new CommandLine(new TarragonCtl()).getCommandSpec(), lines);
        String expected = Resources.toString(Resources.getResource("outer-names/commands.txt"), StandardCharsets.UTF_8);
        assertEquals(LINES.join(lines.build()), expected.trim());
    }

    private static void addCommand(CommandSpec command, ImmutableList.Builder<String> lines) {
        lines.add(Joiner.on('|').join(names(command)));
        command.usageMessage().exitCodeList().keySet().forEach(code -> lines.add("  exit code " + code));
        for (PositionalParamSpec argument : command.positionalParameters()) {
            lines.add("  argument " + argument.index() + form(argument));
        }
        for (OptionSpec option : command.options()) {
            lines.add("  option " + String.join(",", option.names()) + form(option));
        }
        command.subcommands().values().forEach(each -> addCommand(each.getCommandSpec(), lines));
    }

    private static List<String> names(CommandSpec command) {
        return ImmutableList.<String>builder()
                .add(command.qualifiedName())
                .addAll(List.of(command.aliases()))
                .build();
    }

    /** Returns the label, the arity, and the accepted words if they are fixed. */
    private static String form(ArgSpec argument) {
        String label = argument.arity().max() == 0 ? "" : " " + argument.paramLabel();
        String required = argument.required() ? " required" : "";
        String words = argument.completionCandidates() == null
                ? ""
                : " " + Joiner.on('|').join(argument.completionCandidates());
        return label + " " + argument.arity() + required + words;
    }
}
