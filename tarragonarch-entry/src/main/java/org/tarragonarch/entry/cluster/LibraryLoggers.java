package org.tarragonarch.entry.cluster;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * Sets for the libraries which logging to use, before any of them looks for one.
 *
 * <p>Left to themselves, Netty and Micrometer look for several logging libraries that are not there, each time through
 * every archive on the class path: a fifth of the time from a start to the first line of log.
 */
final class LibraryLoggers {
    private LibraryLoggers() {}

    static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        io.micrometer.common.util.internal.logging.InternalLoggerFactory.setDefaultFactory(
                io.micrometer.common.util.internal.logging.JdkLoggerFactory.INSTANCE);
    }
}
