package org.tarragonarch.entry.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.tarragonarch.model.id.NodeId;

/** Sends the log to standard error, one event a line. */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    private LogSetup() {}

    /**
     * Makes {@link LastingLogManager} the process's log manager; has an effect only before the first logger is made.
     *
     * <p>Stands here as a call to that class would initialize its superclass, which reads the property only once.
     */
    public static void prepare() {
        System.setProperty(MANAGER_PROPERTY, LastingLogManager.class.getName());
    }

    /** Sets the process's log up; called once, before the first line. */
    public static void install(NodeId node, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler standard : root.getHandlers()) {
            root.removeHandler(standard);
        }
        Handler handler = new ConsoleHandler();
        handler.setFormatter(new LineFormatter(node.value()));
        handler.setLevel(level);
        root.setLevel(level);
        root.addHandler(handler);
    }
}
