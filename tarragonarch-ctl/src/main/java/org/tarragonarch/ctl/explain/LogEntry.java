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
 * One line of a node's log.
 *
 * @param time when it was written, on the node's clock
 * @param node the node that wrote it
 * @param event what it reports
 * @param fields its other fields
 */
record LogEntry(Instant time, NodeId node, NodeEvent event, JsonNode fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    LogEntry {
        checkNotNull(time, "time");
        checkNotNull(node, "node");
        checkNotNull(event, "event");
        checkNotNull(fields, "fields");
    }

    /** Returns the entry that stands in a line; nothing where the line is cut, or not of a node's log. */
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

    /** Returns the text of a field, empty where the line has none. */
    String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns the number in a field, 0 where the line has none. */
    long number(String field) {
        return fields.path(field).asLong();
    }

    /** Returns whether the line names a share. */
    boolean hasShare() {
        return fields.has("share-priority");
    }

    /** Returns whether the line is about this job, or of a run of one of its tasks. */
    boolean isAbout(String job) {
        return text("job").equals(job) || text("task").startsWith(job + ".");
    }
}
