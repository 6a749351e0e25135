package org.tarragonarch.ctl.change;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonarch.ctl.admin.AdminClient;
import org.tarragonarch.ctl.admin.AdminNodes;
import org.tarragonarch.model.id.ConfigurationVersion;

/** Waits until a version is in force everywhere, or a time has passed. */
public final class RolloutWatch {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final AdminNodes nodes;
    private final Consumer<String> progress;

    /**
     * Creates a watch.
     *
     * @param nodes the nodes asked
     * @param progress takes a line each time that something has changed
     */
    public RolloutWatch(AdminNodes nodes, Consumer<String> progress) {
        this.nodes = nodes;
        this.progress = progress;
    }

    /**
     * Blocks until the version is in force everywhere, or the time has passed; asks at least once.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public Rollout await(ConfigurationVersion version, Duration atMost) throws InterruptedException {
        long started = System.nanoTime();
        String told = "";
        while (true) {
            Rollout rollout = Rollout.of(version, nodes.callAll(AdminClient::status));
            if (!rollout.progress().equals(told)) {
                told = rollout.progress();
                progress.accept("version " + version + " in force: " + told);
            }
            Duration spent = Duration.ofNanos(System.nanoTime() - started);
            if (rollout.isComplete() || spent.compareTo(atMost) >= 0) {
                return rollout;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }
}
