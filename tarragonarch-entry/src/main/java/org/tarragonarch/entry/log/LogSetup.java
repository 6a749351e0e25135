package org.tarragonarch.entry.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.tarragonarch.model.id.NodeId;

/** Sends the log to standard error, one event a line. */
public final class LogSetup {
    private LogSetup() {}

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
