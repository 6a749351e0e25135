package org.tarragonarch.entry.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown.
 *
 * <p>The standard log manager removes its handlers in a shutdown hook, which runs while the node drains. The log lines
 * about the drain would be lost.
 */
public final class NonResettingLogManager extends LogManager {
    /** Called by the logging system. */
    public NonResettingLogManager() {}

    @Override
    public void reset() {
        // Called by the shutdown hook of the logging system.
    }
}
