package org.tarragonarch.entry.cluster;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * Selects the logging library of Netty and Micrometer.
 *
 * <p>By default both search every archive on the class path for several logging libraries that are not there, which
 * takes a fifth of the time from process start to the first log line.
 */
final class LibraryLoggers {
    private LibraryLoggers() {}

    /** Selects {@code java.util.logging}; must be called before Netty or Micrometer creates a logger. */
    static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        io.micrometer.common.util.internal.logging.InternalLoggerFactory.setDefaultFactory(
                io.micrometer.common.util.internal.logging.JdkLoggerFactory.INSTANCE);
    }
}
