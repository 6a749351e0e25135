package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonarch.model.task.TaskName;

/** What the endpoints of a test saw, and which promises that breaks. */
final class Ledger {
    private final Map<TaskName, FakeEndpoint> running = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private int starts;

    void started(TaskName task, FakeEndpoint at) {
        starts++;
        if (running.put(task, at) != null) {
            broken.add("two runs of " + task);
        }
    }

    void ended(TaskName task, FakeEndpoint at) {
        running.remove(task, at);
    }

    void checkRoom(long used, long capacity) {
        if (used > capacity) {
            broken.add("over the room: " + used + " of " + capacity);
        }
    }

    int starts() {
        return starts;
    }

    List<String> broken() {
        return broken;
    }
}
