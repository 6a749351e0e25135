package org.tarragonarch.model.task;

/** Time as the control thread sees it: a steady clock, and calls after a while on that thread. */
public interface Timers {
    /** Returns the steady clock in milliseconds, from an arbitrary start. */
    long nowMillis();

    /** Runs the task once after a while, unless the handle is cancelled before. */
    Handle schedule(long millis, Runnable task);

    /** Cancels a call that has not come. */
    interface Handle {
        /** Cancels the call; does nothing if it has come. */
        void cancel();
    }
}
