package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Tries one request. */
@Command(name = "request", description = "Submits one request.")
final class SubmitRequestCommand extends SubmissionCommand {
    @Option(
            names = "--input",
            paramLabel = "JSON",
            required = true,
            description = "The input: any JSON value, or @FILE that holds one.")
    private String input;

    @Override
    String resource() {
        return "requests";
    }

    @Override
    JsonNode body() {
        return MAPPER.createObjectNode().set("input", json(input));
    }
}
