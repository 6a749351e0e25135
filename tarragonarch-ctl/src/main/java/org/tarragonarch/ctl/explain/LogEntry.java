package org.tarragonarch.ctl.explain;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;

/**
 * A line in the log of a node.
 *
 * @param time the time of the entry, by the clock of the node
 * @param node the node that logged it
 * @param event the event
 * @param fields all fields of the line
 */
record LogEntry(Instant time, NodeId node, NodeEvent event, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    LogEntry {
        checkNotNull(time, "time");
        checkNotNull(node, "node");
        checkNotNull(event, "event");
        checkNotNull(fields, "fields");
    }

    /** Parses a line; empty if the line is truncated or was not logged by a node. */
    static Optional<LogEntry> parse(String line) {
        try {
            JsonNode fields = JSON.readTree(line);
            if (fields == null || !fields.isObject()) {
                return Optional.empty();
            }
            Instant time = Instant.parse(fields.path("time").asText());
            NodeId node = NodeId.of(fields.path("node").asText());
            return NodeEvent.ofWord(fields.path("event").asText())
                    .map(event -> new LogEntry(time, node, event, fields));
        } catch (JsonProcessingException | DateTimeParseException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns a field as text, or an empty string if it is missing. */
    String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns a field as a number, or 0 if it is missing. */
    long number(String field) {
        return fields.path(field).asLong();
    }

    /** Returns whether the entry names a share. */
    boolean hasShare() {
        return fields.has("share-priority");
    }

    /** Returns whether the entry is about the job or one of its tasks. */
    boolean isAbout(String job) {
        return text("job").equals(job) || text("task").startsWith(job + ".");
    }
}
