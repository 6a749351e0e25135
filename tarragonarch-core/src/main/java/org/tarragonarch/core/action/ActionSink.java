package org.tarragonarch.core.action;

/** Takes the actions of the core, in order. */
@FunctionalInterface
public interface ActionSink {
    /** Takes one action; must not call back into the core. */
    void emit(Action action);
}
