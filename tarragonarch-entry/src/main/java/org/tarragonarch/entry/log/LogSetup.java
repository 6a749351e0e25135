package org.tarragonarch.entry.log;

import java.time.Duration;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.tarragonarch.model.id.NodeId;

/** Sends the log to standard error, one event a line. */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final int QUEUED_LINES = 4_096;
    private static final Duration DRAIN_BOUND = Duration.ofSeconds(1);

    private final AsyncLogHandler handler;

    private LogSetup(AsyncLogHandler handler) {
        this.handler = handler;
    }

    /**
     * Makes {@link NonResettingLogManager} the process's log manager; has an effect only before the first logger is made.
     *
     * <p>Stands here as a call to that class would initialize its superclass, which reads the property only once.
     */
    public static void prepare() {
        System.setProperty(MANAGER_PROPERTY, NonResettingLogManager.class.getName());
    }

    /** Sets the process's log up; called once, before the first line. */
    public static LogSetup install(NodeId node, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        AsyncLogHandler handler = AsyncLogHandler.start(System.err, new LineFormatter(node.value()), QUEUED_LINES);
        handler.setLevel(level);
        root.setLevel(level);
        root.addHandler(handler);
        return new LogSetup(handler);
    }

    /** Waits a bounded time until all lines so far are written; called before the process ends. */
    public void flush() {
        handler.awaitWritten(DRAIN_BOUND);
    }
}
