package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.settings.SettingsValue.ListValue;
import org.tarragonarch.settings.SettingsValue.ObjectValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/** Formats an object in its canonical form, the input of the digest: sorted keys, two spaces per level, no comments. */
final class CanonicalText {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private CanonicalText() {}

    static byte[] of(ObjectValue root) {
        // JsonNode.toPrettyString ends lines as the operating system does, which would change the digest.
        String text = toNode(root).toPrettyString().replace("\r\n", "\n");
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static JsonNode toNode(SettingsValue value) {
        if (value instanceof ObjectValue object) {
            ObjectNode node = MAPPER.createObjectNode();
            object.children().keySet().stream()
                    .sorted()
                    .forEach(key -> node.set(key, toNode(object.children().get(key))));
            return node;
        }
        if (value instanceof ListValue list) {
            ArrayNode node = MAPPER.createArrayNode();
            list.items().forEach(item -> node.add(toNode(item)));
            return node;
        }
        return value instanceof ScalarValue scalar ? scalar.node() : JsonNodeFactory.instance.nullNode();
    }
}
