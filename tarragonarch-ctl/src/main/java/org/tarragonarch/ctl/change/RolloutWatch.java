package org.tarragonarch.ctl.change;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.ConfigurationVersion;

/** Waits until a version is in force everywhere. */
public final class RolloutWatch {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final AdminNodes nodes;
    private final Consumer<String> progress;

    /**
     * Creates a watch.
     *
     * @param nodes the nodes to poll for their status
     * @param progress receives a line whenever the progress changes
     */
    public RolloutWatch(AdminNodes nodes, Consumer<String> progress) {
        this.nodes = nodes;
        this.progress = progress;
    }

    /**
     * Blocks until the version is in force everywhere or the timeout expires; polls at least once.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public Rollout await(ConfigurationVersion version, Duration timeout) throws InterruptedException {
        long started = System.nanoTime();
        String lastReported = "";
        while (true) {
            Rollout rollout = Rollout.of(version, nodes.callAll(AdminClient::status));
            if (!rollout.progress().equals(lastReported)) {
                lastReported = rollout.progress();
                progress.accept("version " + version + " in force: " + lastReported);
            }
            Duration elapsed = Duration.ofNanos(System.nanoTime() - started);
            if (rollout.isComplete() || elapsed.compareTo(timeout) >= 0) {
                return rollout;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }
}
