package org.tarragonarch.ctl.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.explain.Explanation;
import org.tarragonarch.ctl.explain.LogFiles;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Explains from the logs of nodes what happened to a job; calls no node. */
@Command(
        name = "explain",
        description = "Explains from the logs of nodes on the users' platform what happened to a job and why.")
final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "ID", description = "The id of the job, chosen by the client.")
    private String job;

    @Parameters(
            index = "1..*",
            paramLabel = "FILE",
            description = "Log files, preferably of all nodes; '-' or none for the standard input.")
    private List<Path> files = new ArrayList<>();

    @Mixin
    private Output output;

    @Override
    public Integer call() throws StepException {
        Explanation explanation = Explanation.of(job, read());
        if (output.isJson()) {
            output.printJson(explanation.toJson());
        } else {
            explanation.lines().forEach(output::printLine);
        }
        return explanation.found() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    private LogFiles read() throws StepException {
        LogFiles logs = new LogFiles();
        for (Path file : files.isEmpty() ? List.of(Path.of("-")) : files) {
            try {
                logs.read(file);
            } catch (IOException e) {
                throw new StepException(Step.READ, file.toString(), "cannot be read: " + e.getMessage(), e);
            }
        }
        return logs;
    }
}
