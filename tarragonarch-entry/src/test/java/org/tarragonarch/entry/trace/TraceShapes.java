package org.tarragonarch.entry.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.jsontype.TypeSerializer;
import com.fasterxml.jackson.databind.ser.PropertyWriter;
import java.lang.reflect.Field;
import java.util.Arrays;
import java.util.Iterator;
import java.util.StringJoiner;

/** Describes the JSON that the trace mapper writes for a class: its keys, nested keys and enum values. */
final class TraceShapes {
    private final ObjectMapper mapper = mapperOfTraces();
    private final SerializerProvider serializers = mapper.getSerializerProviderInstance();

    /** Returns the type key of a class and its value in the JSON, as {@code key=value}. */
    String typeOf(Class<?> type) throws JsonProcessingException {
        TypeSerializer typed = serializers.findTypeSerializer(mapper.constructType(type));
        return typed.getPropertyName() + "=" + typed.getTypeIdResolver().idFromValueAndType(null, type);
    }

    /** Returns the keys of a class, each followed by a description of its value. */
    String keysOf(Class<?> type) throws JsonProcessingException {
        return keys(serializers.findValueSerializer(type));
    }

    private String keys(JsonSerializer<?> serializer) throws JsonProcessingException {
        StringJoiner keys = new StringJoiner(" ");
        for (Iterator<PropertyWriter> each = serializer.properties(); each.hasNext(); ) {
            PropertyWriter property = each.next();
            keys.add(property.getName() + value(property.getType()));
        }
        return keys.toString();
    }

    private String value(JavaType type) throws JsonProcessingException {
        if (type.isMapLikeType()) {
            return "[:" + value(type.getContentType()) + "]";
        }
        if (type.getContentType() != null) {
            return "[" + value(type.getContentType()) + "]";
        }
        if (type.isEnumType()) {
            return "(" + constants(type.getRawClass()) + ")";
        }
        if (type.isInterface() && type.getRawClass().isSealed()) {
            return "<any>";
        }
        String keys = keys(serializers.findValueSerializer(type));
        return keys.isEmpty() ? "" : "{" + keys + "}";
    }

    private String constants(Class<?> type) throws JsonProcessingException {
        StringJoiner constants = new StringJoiner("|");
        for (Object constant : type.getEnumConstants()) {
            constants.add(mapper.convertValue(constant, String.class));
        }
        return constants.toString();
    }

    private static ObjectMapper mapperOfTraces() {
        try {
            Field field = Arrays.stream(TraceJson.class.getDeclaredFields())
                    .filter(each -> each.getType() == ObjectMapper.class)
                    .findFirst()
                    .orElseThrow();
            field.setAccessible(true);
            return (ObjectMapper) field.get(null);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}
