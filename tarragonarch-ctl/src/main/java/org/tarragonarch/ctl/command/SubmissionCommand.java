package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.ctl.ExitCode;
import org.tarragonarch.ctl.connection.Connection;
import org.tarragonarch.ctl.connection.TokenFile;
import org.tarragonarch.ctl.output.Output;
import org.tarragonarch.ctl.submit.CallerAnswer;
import org.tarragonarch.ctl.submit.CallerClient;
import org.tarragonarch.ctl.submit.Submission;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A command that submits a request or job and prints its answer. */
abstract class SubmissionCommand extends ConnectedCommand {
    static final JsonMapper MAPPER = JsonMapper.builder().build();

    private static final String FILE_PREFIX = "@";

    @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
    private ServiceName service;

    @Parameters(index = "1", paramLabel = "KIND", description = "The kind of request.")
    private KindName kind;

    @Option(
            names = "--caller",
            paramLabel = "IP:PORT",
            description = "Caller address of a node; the default is caller-address of the --settings file.")
    private Address callerAddress;

    @Option(
            names = "--caller-token-file",
            paramLabel = "FILE",
            description = "File with the caller's token; the default is the environment variable"
                    + " TARRAGONCTL_CALLER_TOKEN or caller-token-file of the --settings file.")
    private Path callerTokenFile;

    @Option(
            names = "--idempotency-key",
            paramLabel = "KEY",
            description = "Key that makes retries safe: the same key and content are one submission.")
    private String idempotencyKey;

    @Option(names = "--time-allowed", paramLabel = "DURATION", description = "Time allowed for the answer, such as 5s.")
    private Duration timeAllowed;

    @Option(names = "--request-id", paramLabel = "TEXT", description = "Id of your choice, returned in the answer.")
    private String requestId;

    @Override
    public Integer call() throws Exception {
        Connection connection = connection();
        Submission submission = new Submission(
                service,
                resource(),
                kind,
                body(),
                Optional.ofNullable(idempotencyKey),
                Optional.ofNullable(timeAllowed),
                Optional.ofNullable(requestId));
        CallerClient client = new CallerClient(address(connection), token(connection), connection.timeout());
        CallerAnswer answer = client.submit(submission);
        printAnswer(answer);
        return answer.isComplete() ? ExitCode.OK.number() : ExitCode.FAILED.number();
    }

    /** Returns the resource of the caller API, {@code requests} or {@code jobs}. */
    abstract String resource();

    /** Returns the JSON body of the submission. */
    abstract JsonNode body();

    /** Parses a JSON value, or the content of the file given as {@code @FILE}. */
    final JsonNode json(String argument) {
        try {
            String text = argument.startsWith(FILE_PREFIX)
                    ? Files.readString(Path.of(argument.substring(FILE_PREFIX.length())))
                    : argument;
            return MAPPER.readTree(text);
        } catch (NoSuchFileException e) {
            throw usage("the input file " + e.getFile() + " does not exist");
        } catch (JsonProcessingException e) {
            throw usage("the input is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw usage("the input cannot be read: " + e);
        }
    }

    private Address address(Connection connection) {
        return Optional.ofNullable(callerAddress)
                .or(connection::callerAddress)
                .orElseThrow(() ->
                        usage("no caller address: give --caller IP:PORT, or caller-address in a --settings file"));
    }

    private String token(Connection connection) {
        if (callerTokenFile != null) {
            return TokenFile.read(callerTokenFile, commandLine());
        }
        return connection
                .callerToken()
                .orElseThrow(() -> usage("no caller token: give --caller-token-file FILE, caller-token-file in a"
                        + " --settings file, or the environment variable TARRAGONCTL_CALLER_TOKEN"));
    }

    private void printAnswer(CallerAnswer answer) {
        Output output = output();
        if (output.isJson()) {
            output.printJson(answer.body());
            return;
        }
        output.printLine("outcome " + answer.text("outcome") + " (status " + answer.status() + "), submission "
                + answer.text("id"));
        if (answer.isComplete()) {
            JsonNode results = answer.body().path("results");
            results.forEach(result -> output.printLine(result.toString()));
            if (results.isMissingNode()) {
                output.printLine(answer.body().path("result").toString());
            }
            return;
        }
        output.printLine(answer.text("title") + ": " + answer.text("detail"));
        output.printLine(
                "code " + answer.text("code") + ", step " + answer.text("step") + ", peer " + answer.text("peer"));
        if (answer.body().has("retry-after-ms")) {
            output.printLine("retry after " + answer.text("retry-after-ms") + " ms");
        }
    }
}
