package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ChangeJson;

/** Writes configurations and audit records as JSON. */
final class ChangeJsonWriter {
    private ChangeJsonWriter() {}

    static ObjectNode configuration(ConfigurationVersion version, ContentDigest digest, byte[] canonical) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", version.value())
                .put("digest", digest.hex())
                .put("canonical", new String(canonical, StandardCharsets.UTF_8));
    }

    static ArrayNode history(ImmutableList<AuditRecord> records) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        records.forEach(record -> json.add(ChangeJson.writeRecord(record)));
        return json;
    }
}
