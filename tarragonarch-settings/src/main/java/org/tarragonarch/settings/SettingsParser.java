package org.tarragonarch.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.settings.SettingsValue.ListValue;
import org.tarragonarch.settings.SettingsValue.ObjectValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/** Parses a file of JSON with comments into values that carry their source locations. */
final class SettingsParser {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .build();

    private final String file;
    private final MistakeCollector mistakes;

    SettingsParser(String file, MistakeCollector mistakes) {
        this.file = file;
        this.mistakes = mistakes;
    }

    /** Returns the root object of the file; records a mistake and returns an empty object if the text is malformed. */
    ObjectValue parse(byte[] text) {
        SourceLocation start = new SourceLocation(file, 1);
        ObjectValue empty = new ObjectValue(start, ImmutableMap.of());
        try (JsonParser parser = MAPPER.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                mistakes.add(start, "file", "does not start with an object, '{'");
                return empty;
            }
            ObjectValue root = readObject(parser, start, "");
            if (parser.nextToken() != null) {
                mistakes.add(location(parser), "file", "has content after the end of the root object");
            }
            return root;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            mistakes.add(new SourceLocation(file, Math.max(1, line)), "file", explain(e.getOriginalMessage()));
            return empty;
        } catch (IOException e) {
            mistakes.add(start, "file", "cannot be read as UTF-8 text: " + e.getMessage());
            return empty;
        }
    }

    private ObjectValue readObject(JsonParser parser, SourceLocation location, String path) throws IOException {
        Map<String, SettingsValue> children = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            SourceLocation keyLocation = location(parser);
            String childPath = SettingsObject.join(path, key);
            parser.nextToken();
            SettingsValue child = readValue(parser, keyLocation, childPath);
            SettingsValue earlier = children.putIfAbsent(key, child);
            if (earlier != null) {
                mistakes.add(
                        keyLocation,
                        childPath,
                        "is defined twice in this file, first on line "
                                + earlier.location().line());
            }
        }
        return new ObjectValue(location, ImmutableMap.copyOf(children));
    }

    private SettingsValue readValue(JsonParser parser, SourceLocation location, String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, location, path);
            case START_ARRAY -> readList(parser, location, path);
            default -> new ScalarValue(location, parser.<JsonNode>readValueAsTree());
        };
    }

    private ListValue readList(JsonParser parser, SourceLocation location, String path) throws IOException {
        ImmutableList.Builder<SettingsValue> items = ImmutableList.builder();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readValue(parser, location(parser), path));
        }
        return new ListValue(location, items.build());
    }

    private SourceLocation location(JsonParser parser) {
        return new SourceLocation(file, parser.currentTokenLocation().getLineNr());
    }

    private static String explain(String message) {
        boolean commaBeforeBrace = message.startsWith("Unexpected character ('}'") && message.contains("double-quote");
        boolean commaBeforeBracket = message.startsWith("Unexpected character (']'");
        if (commaBeforeBrace || commaBeforeBracket) {
            return "is not JSON: unexpected comma before '" + message.charAt("Unexpected character ('".length()) + "'";
        }
        return "is not JSON: " + message;
    }
}
