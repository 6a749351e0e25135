package org.tarragonarch.ctl;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.IParameterExceptionHandler;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.UnmatchedArgumentException;

/** Prints a usage error and how to get help; the full help text would hide the message. */
final class UsageHandler implements IParameterExceptionHandler {
    @Override
    public int handleParseException(ParameterException mistake, String[] arguments) {
        CommandLine command = mistake.getCommandLine();
        PrintWriter err = command.getErr();
        err.println(mistake.getMessage());
        UnmatchedArgumentException.printSuggestions(mistake, err);
        err.println("See '" + command.getCommandSpec().qualifiedName() + " --help'.");
        return ExitCode.USAGE.number();
    }
}
