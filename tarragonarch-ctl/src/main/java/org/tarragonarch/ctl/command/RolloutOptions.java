package org.tarragonarch.ctl.command;

import java.time.Duration;
import picocli.CommandLine.Option;

/** The options for waiting until a change is in force. */
final class RolloutOptions {
    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "12s",
            description = "How long to wait until the change is in force everywhere, 0s to check once; the default is"
                    + " ${DEFAULT-VALUE}.")
    private Duration timeout;

    Duration timeout() {
        return timeout;
    }
}
