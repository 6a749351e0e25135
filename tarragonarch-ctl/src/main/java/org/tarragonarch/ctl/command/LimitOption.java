package org.tarragonarch.ctl.command;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The option that limits the number of listed changes. */
final class LimitOption {
    /** The most changes that a node lists. */
    private static final int MAX_LIMIT = 1_000;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = {"-n", "--limit"},
            paramLabel = "N",
            defaultValue = "20",
            description = "How many changes to read, from 1 to " + MAX_LIMIT + "; the default is ${DEFAULT-VALUE}.")
    private int limit;

    int limit() {
        if (limit < 1 || limit > MAX_LIMIT) {
            throw new ParameterException(command.commandLine(), "--limit must be from 1 to " + MAX_LIMIT);
        }
        return limit;
    }
}
