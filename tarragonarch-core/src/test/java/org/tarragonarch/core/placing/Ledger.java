package org.tarragonarch.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.tarragonarch.model.task.TaskName;

/** Records the runs at all endpoints of a test, and every violation of a guarantee. */
public final class Ledger {
    private final Map<TaskName, FakeEndpoint> running = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private BiConsumer<String, FakeEndpoint> observer = (event, at) -> {};
    private RunObserver runs = RunObserver.NONE;
    private int starts;

    /** Creates an empty ledger. */
    public Ledger() {}

    /** Sets the observer of each start, end and violation, with the endpoint. */
    public void setObserver(BiConsumer<String, FakeEndpoint> events) {
        observer = events;
    }

    /** Sets the observer of runs. */
    public void setRunObserver(RunObserver observed) {
        runs = observed;
    }

    /** Returns the observer of runs. */
    RunObserver runs() {
        return runs;
    }

    void started(TaskName task, FakeEndpoint at) {
        starts++;
        observer.accept("started " + task, at);
        if (running.put(task, at) != null) {
            violations.add("two runs of " + task);
            observer.accept("two runs of " + task, at);
        }
    }

    void ended(TaskName task, FakeEndpoint at) {
        observer.accept("ended " + task, at);
        running.remove(task, at);
    }

    void checkCapacity(long used, long capacity) {
        if (used > capacity) {
            violations.add("over capacity: " + used + " of " + capacity);
        }
    }

    /** Returns the number of runs that have started. */
    public int starts() {
        return starts;
    }

    /** Returns the violations: two runs of a task at a time, or an endpoint used beyond its capacity. */
    public List<String> violations() {
        return violations;
    }
}
