package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonarch.model.task.TaskName;

/** What the endpoints of a test saw, and which promises that breaks. */
public final class Ledger {
    private final Map<TaskName, FakeEndpoint> running = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;

    /** Creates the ledger of endpoints on which nothing has run. */
    public Ledger() {}

    void started(TaskName task, FakeEndpoint at) {
        starts++;
        if (running.put(task, at) != null) {
            violations.add("two runs of " + task);
        }
    }

    void ended(TaskName task, FakeEndpoint at) {
        running.remove(task, at);
    }

    void checkCapacity(long used, long capacity) {
        if (used > capacity) {
            violations.add("over the room: " + used + " of " + capacity);
        }
    }

    int starts() {
        return starts;
    }

    /** Returns what was seen that must not happen. */
    public List<String> violations() {
        return violations;
    }
}
