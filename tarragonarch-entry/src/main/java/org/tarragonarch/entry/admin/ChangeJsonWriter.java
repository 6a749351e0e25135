package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.platform.AuditRecord;

/** Writes configurations and their changes as JSON. */
final class ChangeJsonWriter {
    private ChangeJsonWriter() {}

    static ObjectNode configuration(ServiceCatalog catalog, byte[] canonical) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("version", catalog.version().value())
                .put("digest", catalog.digest().hex())
                .put("text", new String(canonical, StandardCharsets.UTF_8));
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

    static ObjectNode history(ImmutableList<AuditRecord> records) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        records.forEach(record -> json.withArray("changes").add(change(record)));
        json.withArray("changes");
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
