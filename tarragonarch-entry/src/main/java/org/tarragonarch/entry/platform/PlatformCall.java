package org.tarragonarch.entry.platform;

import org.tarragonarch.platform.PlatformException;

/**
 * A blocking call to the platform.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
interface PlatformCall<T> {
    T call() throws PlatformException;
}
