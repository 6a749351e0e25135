package org.tarragonarch.ctl.command;

import java.time.Duration;
import picocli.CommandLine.Option;

/** How long a change waits to be in force everywhere. */
final class RolloutOptions {
    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "12s",
            description = "How long to wait until the change is in force everywhere; ${DEFAULT-VALUE} unless stated,"
                    + " 0s to look once.")
    private Duration timeout;

    Duration timeout() {
        return timeout;
    }
}
