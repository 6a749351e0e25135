package org.tarragonarch.core.event;

/** The two forms of submission. */
public enum SubmissionForm {
    /** One short piece of work; may be tried again on another endpoint if its kind is idempotent. */
    REQUEST {
        @Override
        public boolean mayRetry(boolean idempotentKind) {
            return idempotentKind;
        }
    },
    /** One to many tasks, answered once and whole; no task is ever started again. */
    JOB {
        @Override
        public boolean mayRetry(boolean idempotentKind) {
            return false;
        }
    };

    /** Returns whether a task whose answer was lost may be sent again. */
    public abstract boolean mayRetry(boolean idempotentKind);
}
