package org.tarragonarch.benchmark.policy;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.EndpointId;

/** A model of an endpoint, which refuses tasks while all of its slots are in use. */
final class EndpointModel {
    private static final long FAILING_RUN_NANOS = 1_000_000;

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

    /** Starts or refuses a task; {@code answer} is called when the endpoint sends its answer. */
    void start(Job job, int task, Consumer<SendResult> answer) {
        if (running.size() >= slots) {
            answer.accept(SendResult.REFUSED_BUSY);
            return;
        }
        Run run = new Run(job, task);
        running.add(run);
        SendResult result = failing ? SendResult.TASK_FAILED : SendResult.SUCCEEDED;
        time.runAfter(failing ? FAILING_RUN_NANOS : job.runNanos[task], () -> {
            // A stopped task has already freed its slot and been answered.
            if (running.remove(run)) {
                answer.accept(result);
            }
        });
    }

    /** Stops a task and returns whether it was running. */
    boolean stop(Job job, int task) {
        return running.remove(new Run(job, task));
    }

    private record Run(Job job, int task) {}
}
