package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.platform.ConfigurationRow;

/** Converts configuration rows and audit records to and from the JSON of the table service and administration API. */
public final class ChangeJson {
    private ChangeJson() {}

    /** Returns a configuration row as JSON. */
    public static ObjectNode writeRow(ConfigurationRow row) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", row.version().value())
                .put("digest", row.digest().hex())
                .put("change", row.change().value())
                .put("operator", row.operator().value())
                .put("when", row.when().toString());
    }

    /** Returns an audit record as JSON. */
    public static ObjectNode writeRecord(AuditRecord record) {
        return writeRow(rowOf(record)).put("from", record.from().value()).put("summary", record.summary());
    }

    /**
     * Reads a configuration row.
     *
     * @throws IllegalArgumentException if the value is not a configuration row
     */
    static ConfigurationRow readRow(JsonNode json) {
        return new ConfigurationRow(
                ConfigurationVersion.of(JsonFields.number(json, "version")),
                new ContentDigest(JsonFields.text(json, "digest")),
                new ChangeId(JsonFields.text(json, "change")),
                OperatorName.of(JsonFields.text(json, "operator")),
                instant(JsonFields.text(json, "when")));
    }

    /**
     * Reads an audit record.
     *
     * @throws IllegalArgumentException if the value is not an audit record
     */
    static AuditRecord readRecord(JsonNode json) {
        ConfigurationRow row = readRow(json);
        return new AuditRecord(
                row.version(),
                ConfigurationVersion.of(JsonFields.number(json, "from")),
                row.digest(),
                row.change(),
                row.operator(),
                row.when(),
                JsonFields.text(json, "summary"));
    }

    /** Returns the configuration row that the change writes. */
    static ConfigurationRow rowOf(AuditRecord record) {
        return new ConfigurationRow(
                record.version(), record.digest(), record.change(), record.operator(), record.when());
    }

    private static Instant instant(String text) {
        try {
            return Instant.parse(text);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("'" + text + "' is not an ISO 8601 instant", e);
        }
    }
}
