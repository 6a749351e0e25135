package org.tarragonarch.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Submits a job. */
@Command(name = "job", description = "Submits a job of one or more tasks, which has one answer.")
final class SubmitJobCommand extends SubmissionCommand {
    @Option(
            names = "--inputs",
            paramLabel = "JSON",
            required = true,
            description = "Inputs of the tasks: a JSON list with one value for each task, or @FILE.")
    private String inputs;

    @Override
    String resource() {
        return "jobs";
    }

    @Override
    JsonNode body() {
        JsonNode list = json(inputs);
        if (!list.isArray()) {
            throw usage("--inputs is not a JSON list");
        }
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode tasks = body.putArray("tasks");
        list.forEach(input -> tasks.addObject().set("input", input));
        return body;
    }
}
