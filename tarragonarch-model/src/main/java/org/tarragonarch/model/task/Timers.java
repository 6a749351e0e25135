package org.tarragonarch.model.task;

/** The monotonic clock and the delayed calls of the control thread. */
public interface Timers {
    /** Returns the reading of a monotonic clock in milliseconds, with an arbitrary origin. */
    long nowMillis();

    /** Runs the task once on the control thread after a delay, unless the handle is cancelled before. */
    Handle schedule(long millis, Runnable task);

    /** A scheduled call. */
    interface Handle {
        /** Cancels the call; does nothing if it has already been made. */
        void cancel();
    }
}
