package org.tarragonarch.core.cluster;

/** Where events from outside arrive at a node. */
@FunctionalInterface
interface Inbox {
    /**
     * Delivers an event, at once or when the node runs again.
     *
     * @param source events of the same source stay in order
     */
    void deliver(Object source, Runnable event);
}
