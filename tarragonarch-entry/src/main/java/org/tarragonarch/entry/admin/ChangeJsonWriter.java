package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;

/** Writes configurations and their changes as JSON. */
final class ChangeJsonWriter {
    private ChangeJsonWriter() {}

    static ObjectNode configuration(ConfigurationVersion version, ContentDigest digest, byte[] canonical) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", version.value())
                .put("digest", digest.hex())
                .put("canonical", new String(canonical, StandardCharsets.UTF_8));
    }

    static ObjectNode row(ConfigurationRow row) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", row.version().value())
                .put("digest", row.digest().hex())
                .put("change", row.change().value())
                .put("operator", row.operator().value())
                .put("when", row.when().toString());
    }

    static ArrayNode history(ImmutableList<AuditRecord> records) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        records.forEach(record -> json.add(change(record)));
        return json;
    }

    private static ObjectNode change(AuditRecord record) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", record.version().value())
                .put("from", record.from().value())
                .put("digest", record.digest().hex())
                .put("change", record.change().value())
                .put("operator", record.operator().value())
                .put("when", record.when().toString())
                .put("summary", record.summary());
    }
}
