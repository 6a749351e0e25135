package org.tarragonarch.entry.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.event.TaskShape;
import org.tarragonarch.entry.body.JsonSlices;
import org.tarragonarch.settings.DurationText;

/**
 * Reads the body of a submission.
 *
 * <p>Inputs are copied from the body rather than parsed and serialized, so that numbers and escaped characters reach
 * the endpoint as the caller wrote them. Immutable; reads the body in one pass.
 */
final class SubmissionBodyReader {
    private static final String INPUT = "input";
    private static final String EXPECTED_RUN_TIME = "expected-run-time";
    private static final String TASKS = "tasks";
    private static final int MAX_DEPTH = 200;

    private final JsonFactory factory = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(Integer.MAX_VALUE)
                    .build())
            .build();
    private final int maxTasks;

    /** Creates a reader that accepts jobs of at most {@code maxTasks} tasks, whatever the limit of their kind. */
    SubmissionBodyReader(int maxTasks) {
        this.maxTasks = maxTasks;
    }

    SubmissionBody read(SubmissionForm form, byte[] body) throws MalformedException {
        try (JsonParser parser = factory.createParser(body)) {
            SubmissionBody read = form == SubmissionForm.JOB ? readJob(parser, body) : readRequest(parser, body);
            if (parser.nextToken() != null) {
                throw new MalformedException("unexpected text after the end of the message");
            }
            return read;
        } catch (JsonProcessingException e) {
            throw new MalformedException("not JSON: " + reason(e) + " at line "
                    + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new MalformedException("not JSON: " + e.getMessage());
        }
    }

    // Jackson's message ends with a reference to its input source, which is of no use to a caller.
    private static String reason(JsonProcessingException e) {
        String message = e.getOriginalMessage();
        int sourceReference = message.indexOf(" (start marker");
        return sourceReference < 0 ? message : message.substring(0, sourceReference);
    }

    private SubmissionBody readRequest(JsonParser parser, byte[] body) throws IOException, MalformedException {
        parser.nextToken();
        Collector collector = new Collector();
        readTask(parser, body, "the message", collector);
        return collector.build();
    }

    private SubmissionBody readJob(JsonParser parser, byte[] body) throws IOException, MalformedException {
        expect(parser.nextToken(), JsonToken.START_OBJECT, "the message is not an object");
        Collector collector = new Collector();
        boolean seen = false;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            if (!field.equals(TASKS) || seen) {
                throw unexpected(field, field.equals(TASKS), "the message", TASKS);
            }
            seen = true;
            expect(parser.nextToken(), JsonToken.START_ARRAY, "'tasks' is not an array");
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                if (collector.size == maxTasks) {
                    throw new MalformedException("a job has at most " + maxTasks + " tasks");
                }
                readTask(parser, body, "task " + collector.size, collector);
            }
        }
        if (collector.size == 0) {
            throw new MalformedException("a job needs 'tasks' with at least one task");
        }
        return collector.build();
    }

    private void readTask(JsonParser parser, byte[] body, String where, Collector collector)
            throws IOException, MalformedException {
        expect(parser.currentToken(), JsonToken.START_OBJECT, where + " is not an object");
        byte[] input = null;
        Optional<Duration> runTime = Optional.empty();
        Set<String> seen = new HashSet<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            boolean repeated = !seen.add(field);
            parser.nextToken();
            if (repeated || !(field.equals(INPUT) || field.equals(EXPECTED_RUN_TIME))) {
                throw unexpected(field, repeated, where, INPUT + "' and '" + EXPECTED_RUN_TIME);
            }
            if (field.equals(INPUT)) {
                input = JsonSlices.currentValue(parser, body);
            } else {
                runTime = Optional.of(runTime(parser, where));
            }
        }
        if (input == null) {
            throw new MalformedException(where + " has no 'input'");
        }
        collector.add(input, runTime);
    }

    private static Duration runTime(JsonParser parser, String where) throws IOException, MalformedException {
        String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
        try {
            return DurationText.parse(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedException(EXPECTED_RUN_TIME + " of " + where + ": " + e.getMessage());
        }
    }

    private static void expect(JsonToken found, JsonToken wanted, String otherwise) throws MalformedException {
        if (found != wanted) {
            throw new MalformedException(otherwise);
        }
    }

    private static MalformedException unexpected(String field, boolean repeated, String where, String known) {
        return new MalformedException(
                repeated
                        ? "'" + field + "' appears twice in " + where
                        : "'" + field + "' is not known in " + where + "; known: '" + known + "'");
    }

    private static final class Collector {
        private final ImmutableList.Builder<byte[]> inputs = ImmutableList.builder();
        private final ImmutableList.Builder<TaskShape> shapes = ImmutableList.builder();
        private int size;

        private void add(byte[] input, Optional<Duration> runTime) {
            inputs.add(input);
            shapes.add(new TaskShape(input.length, runTime));
            size++;
        }

        private SubmissionBody build() {
            return new SubmissionBody(inputs.build(), shapes.build());
        }
    }
}
