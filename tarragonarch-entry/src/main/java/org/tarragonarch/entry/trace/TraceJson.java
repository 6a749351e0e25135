package org.tarragonarch.entry.trace;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.time.Duration;
import java.time.Instant;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.event.Event;

/** Converts the records of a trace to JSON and back, without loss. Thread-safe. */
final class TraceJson {
    private static final ObjectMapper MAPPER = mapper();

    private TraceJson() {}

    static String write(Object record) throws JsonProcessingException {
        return MAPPER.writeValueAsString(record);
    }

    static <T> T read(String line, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(line, type);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper()
                .registerModule(new GuavaModule())
                .registerModule(new Jdk8Module())
                .registerModule(times())
                .addMixIn(Event.class, Typed.class)
                .addMixIn(Action.class, Typed.class);
        mapper.registerSubtypes(Event.class.getPermittedSubclasses());
        mapper.registerSubtypes(Action.class.getPermittedSubclasses());
        return mapper;
    }

    private static SimpleModule times() {
        return new SimpleModule()
                .addSerializer(Duration.class, ToStringSerializer.instance)
                .addSerializer(Instant.class, ToStringSerializer.instance)
                .addDeserializer(Duration.class, new DurationReader())
                .addDeserializer(Instant.class, new InstantReader());
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    private interface Typed {}

    private static final class DurationReader extends FromStringDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        private DurationReader() {
            super(Duration.class);
        }

        @Override
        protected Duration _deserialize(String text, DeserializationContext context) {
            return Duration.parse(text);
        }
    }

    private static final class InstantReader extends FromStringDeserializer<Instant> {
        private static final long serialVersionUID = 1L;

        private InstantReader() {
            super(Instant.class);
        }

        @Override
        protected Instant _deserialize(String text, DeserializationContext context) {
            return Instant.parse(text);
        }
    }
}
