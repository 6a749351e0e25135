package org.tarragonarch.benchmark.policy;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.EndpointId;

/** An endpoint that runs at most as many tasks as it has slots and refuses the rest. */
final class EndpointModel {
    private static final long BROKEN_RUN_NANOS = 1_000_000;

    final EndpointId id;
    final int domain;
    boolean failing;
    private final int slots;
    private final VirtualTime time;
    private final Set<Run> running = new HashSet<>();

    EndpointModel(EndpointId id, int domain, int slots, VirtualTime time) {
        this.id = id;
        this.domain = domain;
        this.slots = slots;
        this.time = time;
    }

    /** Starts a task, or refuses it; the answer is given when it leaves the endpoint. */
    void start(Job job, int task, Consumer<SendResult> answer) {
        if (running.size() >= slots) {
            answer.accept(SendResult.REFUSED_BUSY);
            return;
        }
        Run run = new Run(job, task);
        running.add(run);
        SendResult result = failing ? SendResult.TASK_FAILED : SendResult.SUCCEEDED;
        time.runAfter(failing ? BROKEN_RUN_NANOS : job.runNanos[task], () -> {
            // A task that was stopped has left its slot and given its answer already.
            if (running.remove(run)) {
                answer.accept(result);
            }
        });
    }

    /** Stops a task; returns whether it was running. */
    boolean stop(Job job, int task) {
        return running.remove(new Run(job, task));
    }

    private record Run(Job job, int task) {}
}
