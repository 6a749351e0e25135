package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Submits a request. */
@Command(name = "request", description = "Submits a request.")
final class SubmitRequestCommand extends SubmissionCommand {
    @Option(names = "--input", paramLabel = "JSON", required = true, description = "Input: any JSON value, or @FILE.")
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
