package org.tarragonarch.ctl;

import java.io.PrintWriter;
import org.tarragonarch.ctl.change.ChangeConflictException;
import org.tarragonarch.ctl.change.ChangeOutcomeUnknownException;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Reports why a command failed, and picks the exit status. */
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
                    "Nothing was changed. See what was accepted with 'tarragonctl history', take it into your folder,"
                            + " look with 'tarragonctl diff', and apply again.");
            return ExitCode.CONFLICT.number();
        }
        if (failure instanceof ChangeOutcomeUnknownException) {
            err.println(failure.getMessage());
            err.println("Look for it with 'tarragonctl audit'. If it is not there, apply again: it is not made twice.");
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
