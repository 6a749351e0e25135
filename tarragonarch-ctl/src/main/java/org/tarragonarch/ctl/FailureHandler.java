package org.tarragonarch.ctl;

import java.io.PrintWriter;
import org.tarragonarch.ctl.change.ChangeConflictException;
import org.tarragonarch.ctl.change.ChangeOutcomeUnknownException;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Prints why a command failed and selects the exit status. */
final class FailureHandler implements IExecutionExceptionHandler {
    @Override
    public int handleExecutionException(Exception failure, CommandLine command, ParseResult parsed) throws Exception {
        PrintWriter err = command.getErr();
        if (failure instanceof SettingsException settings) {
            settings.mistakes().forEach(err::println);
            err.println(settings.mistakes().size() + " mistake(s) in " + settings.peer());
            return ExitCode.USAGE.number();
        }
        if (failure instanceof ChangeConflictException) {
            err.println("conflict: " + failure.getMessage());
            err.println(
                    "Nothing was changed. List the accepted changes with 'tarragonctl history', merge them into your"
                            + " folder, check with 'tarragonctl diff', and apply again.");
            return ExitCode.CONFLICT.number();
        }
        if (failure instanceof ChangeOutcomeUnknownException) {
            err.println(failure.getMessage());
            err.println(
                    "Look for the change with 'tarragonctl audit'. If it is not listed, it is safe to apply again.");
            return ExitCode.FAILED.number();
        }
        if (failure instanceof StepException step) {
            err.println(
                    "failed: " + failure.getMessage() + " [step " + step.step().word() + ", peer " + step.peer() + "]");
            return ExitCode.FAILED.number();
        }
        throw failure;
    }
}
