package org.tarragonarch.core.action;

/** Receives the actions of the core, in order. */
@FunctionalInterface
public interface ActionSink {
    /** Receives one action; must not call back into the core. */
    void emit(Action action);
}
