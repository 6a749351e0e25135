package org.tarragonarch.ctl.command;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The option that says how many changes are listed. */
final class LimitOption {
    /** The most that a node lists. */
    private static final int MAX_LIMIT = 1_000;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = {"-n", "--limit"},
            paramLabel = "N",
            defaultValue = "20",
            description = "The most changes looked at, from 1 to " + MAX_LIMIT + "; ${DEFAULT-VALUE} unless stated.")
    private int limit;

    int limit() {
        if (limit < 1 || limit > MAX_LIMIT) {
            throw new ParameterException(command.commandLine(), "--limit is not from 1 to " + MAX_LIMIT);
        }
        return limit;
    }
}
