package org.tarragonarch.entry.trace;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.io.Resources;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.event.Event;
import org.testng.annotations.Test;

/** Tests the names in the JSON of traces. */
public final class OuterNamesTest {
    private static final String RESOURCE = "/outer-names/trace.txt";

    private final TraceShapes shapes = new TraceShapes();

    /** Guards against a renamed class, record component or constant that makes stored traces unreadable. */
    @Test
    public void testWrite_namesMatchStoredTraces() throws Exception {
        ImmutableSortedSet.Builder<String> lines = ImmutableSortedSet.naturalOrder();
        lines.add("first line: " + shapes.keysOf(TraceHeader.class));
        lines.add("other lines: " + shapes.keysOf(TraceLine.class));
        addAll(lines, "event", Event.class);
        addAll(lines, "action", Action.class);
        assertEquals(
                String.join("\n", lines.build()),
                String.join("\n", Resources.readLines(getClass().getResource(RESOURCE), StandardCharsets.UTF_8)));
    }

    private void addAll(ImmutableSet.Builder<String> lines, String label, Class<?> sealed)
            throws JsonProcessingException {
        for (Class<?> type : sealed.getPermittedSubclasses()) {
            lines.add((label + " " + shapes.typeOf(type) + ": " + shapes.keysOf(type)).strip());
        }
    }
}
