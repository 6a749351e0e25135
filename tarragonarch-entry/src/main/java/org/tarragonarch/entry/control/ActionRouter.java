package org.tarragonarch.entry.control;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.ActionSink;

/** Dispatches each action of the core to the handler of its type. */
public final class ActionRouter implements ActionSink {
    private final ImmutableMap<Class<? extends Action>, Consumer<Action>> handlers;

    private ActionRouter(ImmutableMap<Class<? extends Action>, Consumer<Action>> handlers) {
        this.handlers = handlers;
    }

    /** Returns a builder without handlers. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public void emit(Action action) {
        handlers.get(action.getClass()).accept(action);
    }

    /** A builder that takes one handler for each type of action. */
    public static final class Builder {
        private final Map<Class<? extends Action>, Consumer<Action>> handlers = new HashMap<>();

        private Builder() {}

        /**
         * Sets the handler of one type of action. It runs on the control thread and must not block.
         *
         * @throws IllegalStateException if the type already has a handler
         */
        public <A extends Action> Builder on(Class<A> type, Consumer<? super A> handler) {
            Consumer<Action> previous = handlers.put(type, action -> handler.accept(type.cast(action)));
            checkState(previous == null, "%s has two handlers", type.getSimpleName());
            return this;
        }

        /**
         * Builds the router.
         *
         * @throws IllegalStateException if a type of action has no handler, so that the fault shows at startup
         */
        public ActionRouter build() {
            Set<Class<?>> missing =
                    Sets.difference(ImmutableSet.copyOf(Action.class.getPermittedSubclasses()), handlers.keySet());
            checkState(missing.isEmpty(), "no handler for action types %s", missing);
            return new ActionRouter(ImmutableMap.copyOf(handlers));
        }
    }
}
