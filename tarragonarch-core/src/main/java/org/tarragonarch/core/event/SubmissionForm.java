package org.tarragonarch.core.event;

/** The two forms of submission. */
public enum SubmissionForm {
    /** One short task; may be retried at another endpoint if its kind is idempotent. */
    REQUEST {
        @Override
        public boolean mayRetry(boolean idempotentKind) {
            return idempotentKind;
        }
    },
    /** One or more tasks, answered together; no task is ever started twice. */
    JOB {
        @Override
        public boolean mayRetry(boolean idempotentKind) {
            return false;
        }
    };

    /** Returns whether a task whose answer was lost may be sent again. */
    public abstract boolean mayRetry(boolean idempotentKind);
}
