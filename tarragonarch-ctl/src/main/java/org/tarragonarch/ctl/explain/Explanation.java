package org.tarragonarch.ctl.explain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.EndpointId;

/** What is said of one job: its outcome, the cause, and the entries that show it. */
public final class Explanation {
    private final JobHistory story;
    private final int foreignLines;

    private Explanation(JobHistory story, int foreignLines) {
        this.story = story;
        this.foreignLines = foreignLines;
    }

    /** Returns the explanation of a job by the logs that were read. */
    public static Explanation of(String job, LogFiles logs) {
        return new Explanation(JobHistory.of(job, logs.entries()), logs.skippedLines());
    }

    /** Returns whether any line is about the job. */
    public boolean found() {
        return !story.entries().isEmpty();
    }

    /** Returns the explanation as text for a person. */
    public ImmutableList<String> lines() {
        if (!found()) {
            return ImmutableList.of("no line tells of job " + story.job() + passedOver());
        }
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        lines.add("job " + story.job() + ": " + outcome() + passedOver());
        lines.add("cause: " + story.cause().word() + ", " + story.cause().meaning());
        story.shareRefusal().ifPresent(entry -> lines.add("decided by: " + EntryDescriptions.describeShare(entry)));
        for (EndpointId endpoint : story.failingEndpoints()) {
            lines.add("endpoint: " + endpoint);
        }
        for (LogEntry entry : story.entriesWithContext()) {
            lines.add("  " + entry.time() + " " + entry.node() + " " + EntryDescriptions.describe(entry));
        }
        return lines.build();
    }

    /** Returns the explanation as JSON; its keys are those of docs/OPERATIONS.md. */
    public JsonNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("job", story.job());
        json.put("outcome", outcome());
        json.put("cause", story.cause().word());
        json.put("meaning", story.cause().meaning());
        story.shareRefusal()
                .ifPresent(entry -> json.putObject("share")
                        .put("service", entry.text("share-service"))
                        .put("priority", entry.number("share-priority")));
        ArrayNode endpoints = json.putArray("endpoints");
        story.failingEndpoints().forEach(endpoint -> endpoints.add(endpoint.value()));
        ArrayNode entries = json.putArray("entries");
        story.entriesWithContext().forEach(entry -> entries.add(entry.fields()));
        json.put("lines-passed-over", foreignLines);
        return json;
    }

    private String outcome() {
        return story.outcome().map(Enum::name).orElse("no answer logged");
    }

    private String passedOver() {
        return foreignLines == 0 ? "" : " (" + foreignLines + " line(s) of another kind passed over)";
    }
}
