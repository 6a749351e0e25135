package org.tarragonarch.entry.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down.
 *
 * <p>The standard one drops them in a shutdown hook of its own, at the very moment at which a node that was asked to
 * end begins to drain: the log would fall silent before the lines that say whether the drain went well.
 */
public final class NonResettingLogManager extends LogManager {
    /** Creates the manager; called by the logging system. */
    public NonResettingLogManager() {}

    @Override
    public void reset() {
        // Called by the shutdown hook; see above.
    }
}
