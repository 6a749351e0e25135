package org.tarragonarch.standin.endpoint;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One start of a task, as the ledger keeps it. */
final class Start {
    private final String task;
    private final int attempt;
    private final String kind;
    private final String tag;
    private final long startedMillis = System.currentTimeMillis();
    private Long endedMillis;
    private int stops;

    Start(String task, int attempt, String kind, String tag) {
        this.task = task;
        this.attempt = attempt;
        this.kind = kind;
        this.tag = tag;
    }

    String task() {
        return task;
    }

    synchronized void recordEnd() {
        endedMillis = System.currentTimeMillis();
    }

    synchronized void recordStop() {
        stops++;
    }

    synchronized ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("task", task)
                .put("attempt", attempt)
                .put("kind", kind)
                .put("tag", tag)
                .put("started-ms", startedMillis)
                .put("ended-ms", endedMillis)
                .put("stops", stops);
    }
}
