package org.tarragonarch.entry.log;

import java.time.Duration;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.tarragonarch.model.id.NodeId;

/** Configures logging to standard error, one event per line. */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final int MAX_QUEUED_LINES = 4_096;
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(1);

    private final AsyncLogHandler handler;

    private LogSetup(AsyncLogHandler handler) {
        this.handler = handler;
    }

    /**
     * Makes {@link NonResettingLogManager} the log manager of the process; must run before the first logger is created.
     *
     * <p>This method is not in that class because calling it there would initialize the superclass, which reads the
     * system property only once.
     */
    public static void prepare() {
        System.setProperty(MANAGER_PROPERTY, NonResettingLogManager.class.getName());
    }

    /** Replaces the handlers of the root logger; call once, before the first log line. */
    public static LogSetup install(NodeId node, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        AsyncLogHandler handler = AsyncLogHandler.start(System.err, new LineFormatter(node.value()), MAX_QUEUED_LINES);
        handler.setLevel(level);
        root.setLevel(level);
        root.addHandler(handler);
        return new LogSetup(handler);
    }

    /** Waits up to one second until all lines logged so far are written; call before the process exits. */
    public void flush() {
        handler.awaitWritten(FLUSH_TIMEOUT);
    }
}
