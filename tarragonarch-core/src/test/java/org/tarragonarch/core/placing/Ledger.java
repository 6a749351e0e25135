package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonarch.model.task.TaskName;

/** Records the runs at all endpoints of a test, and every violation of a guarantee. */
public final class Ledger {
    private final Map<TaskName, FakeEndpoint> running = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;

    /** Creates an empty ledger. */
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
            violations.add("over capacity: " + used + " of " + capacity);
        }
    }

    int starts() {
        return starts;
    }

    /** Returns the violations: two runs of a task at a time, or an endpoint used beyond its capacity. */
    public List<String> violations() {
        return violations;
    }
}
