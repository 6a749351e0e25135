package org.tarragonarch.ctl.explain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.EndpointId;

/** The explanation of what happened to a job: its outcome, the cause, and the log entries that show it. */
public final class Explanation {
    private final JobHistory history;
    private final int skippedLines;

    private Explanation(JobHistory history, int skippedLines) {
        this.history = history;
        this.skippedLines = skippedLines;
    }

    /** Explains a job from the entries of the logs. */
    public static Explanation of(String job, LogFiles logs) {
        return new Explanation(JobHistory.of(job, logs.entries()), logs.skippedLines());
    }

    /** Returns whether any log entry is about the job. */
    public boolean found() {
        return !history.entries().isEmpty();
    }

    /** Returns the explanation as lines of text. */
    public ImmutableList<String> lines() {
        if (!found()) {
            return ImmutableList.of("no line is about job " + history.job() + skippedNote());
        }
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add("job " + history.job() + ": " + outcome() + skippedNote());
        lines.add("cause: " + history.cause().word() + ", " + history.cause().meaning());
        history.shareRefusal().ifPresent(entry -> lines.add("decided by: " + EntryDescriptions.describeShare(entry)));
        for (EndpointId endpoint : history.failingEndpoints()) {
            lines.add("endpoint: " + endpoint);
        }
        for (LogEntry entry : history.entriesWithContext()) {
            lines.add("  " + entry.time() + " " + entry.node() + " " + EntryDescriptions.describe(entry));
        }
        return lines.build();
    }

    /** Returns the explanation as JSON; its keys are those of docs/OPERATIONS.md. */
    public JsonNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("job", history.job());
        json.put("outcome", outcome());
        json.put("cause", history.cause().word());
        json.put("meaning", history.cause().meaning());
        history.shareRefusal()
                .ifPresent(entry -> json.putObject("share")
                        .put("service", entry.text("share-service"))
                        .put("priority", entry.number("share-priority")));
        ArrayNode endpoints = json.putArray("endpoints");
        history.failingEndpoints().forEach(endpoint -> endpoints.add(endpoint.value()));
        ArrayNode entries = json.putArray("entries");
        history.entriesWithContext().forEach(entry -> entries.add(entry.fields()));
        json.put("lines-passed-over", skippedLines);
        return json;
    }

    private String outcome() {
        return history.outcome().map(Enum::name).orElse("no answer logged");
    }

    private String skippedNote() {
        return skippedLines == 0 ? "" : " (" + skippedLines + " other line(s) skipped)";
    }
}
