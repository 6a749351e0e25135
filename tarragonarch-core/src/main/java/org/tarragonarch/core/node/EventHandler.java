package org.tarragonarch.core.node;

import org.tarragonarch.core.action.ActionSink;

/**
 * Handles the events of one type.
 *
 * @param <E> the type of event
 */
@FunctionalInterface
interface EventHandler<E> {
    void handle(E event, long nowNanos, ActionSink sink);
}
