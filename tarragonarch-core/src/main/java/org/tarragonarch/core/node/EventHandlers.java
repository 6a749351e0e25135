package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.Event;

/** Dispatches each event to the handler registered for its type. */
final class EventHandlers {
    private final Map<Class<? extends Event>, EventHandler<Event>> handlers = new HashMap<>();

    /**
     * Registers the handler of a type of event.
     *
     * @throws IllegalArgumentException if the type has a handler already
     */
    <E extends Event> void register(Class<E> type, EventHandler<? super E> handler) {
        EventHandler<Event> previous =
                handlers.putIfAbsent(type, (event, nowNanos, sink) -> handler.handle(type.cast(event), nowNanos, sink));
        checkArgument(previous == null, "%s has two handlers", type);
    }

    /**
     * Checks that no type of event lacks a handler.
     *
     * @throws IllegalStateException if one does
     */
    void checkComplete() {
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            checkState(handlers.containsKey(type), "%s has no handler", type);
        }
    }

    /** Passes the event to the handler of its type. */
    void handle(Event event, long nowNanos, ActionSink sink) {
        handlers.get(event.getClass()).handle(event, nowNanos, sink);
    }
}
