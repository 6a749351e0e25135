package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.TaskRun;

/** Observes what fake endpoints really do with runs, whatever their holders learn of it. */
public interface RunObserver {
    /** Ignores all events. */
    RunObserver NONE = new RunObserver() {
        @Override
        public void started(TaskRun run, FencingToken token, FakeEndpoint at) {}

        @Override
        public void ended(TaskRun run, EndKind kind, FakeEndpoint at) {}

        @Override
        public void acknowledged(TaskRun run, FencingToken token, FakeEndpoint at) {}
    };

    /** Called when a run has started on an order under this token. */
    void started(TaskRun run, FencingToken token, FakeEndpoint at);

    /** Called when a run has ended; one whose endpoint crashed has ended as crashed. */
    void ended(TaskRun run, EndKind kind, FakeEndpoint at);

    /** Called when the holder with this token has acknowledged the listed end of a run. */
    void acknowledged(TaskRun run, FencingToken token, FakeEndpoint at);
}
