package org.tarragonarch.standin.endpoint;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The record of the tasks that an endpoint started and refused, which tests check. */
final class Ledger {
    private final List<Start> starts = new ArrayList<>();
    private final Set<String> tasks = new HashSet<>();
    private int refusedBusy;
    private int refusedDraining;
    private int uselessStops;

    synchronized void recordStart(Start start) {
        starts.add(start);
        tasks.add(start.task());
    }

    synchronized void recordBusyRefusal() {
        refusedBusy++;
    }

    synchronized void recordDrainingRefusal() {
        refusedDraining++;
    }

    synchronized void recordUselessStop() {
        uselessStops++;
    }

    /** Returns the counts as JSON, with each start if requested. */
    synchronized ObjectNode json(boolean withStarts) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("started", starts.size())
                .put("distinct-tasks", tasks.size())
                .put("refused-busy", refusedBusy)
                .put("refused-draining", refusedDraining)
                .put("useless-stops", uselessStops);
        if (withStarts) {
            ArrayNode entries = json.putArray("starts");
            starts.forEach(start -> entries.add(start.json()));
        }
        return json;
    }
}
