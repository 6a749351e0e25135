package org.tarragonarch.entry.platform;

import org.tarragonarch.platform.PlatformException;

/**
 * One blocking call to the platform.
 *
 * @param <T> what it gives
 */
@FunctionalInterface
interface PlatformCall<T> {
    T call() throws PlatformException;
}
