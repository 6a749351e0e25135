package org.tarragonarch.core.event;

/** Why a submission is cancelled. */
public enum CancelCause {
    /** The caller requested it. */
    CALLER,
    /** The caller's connection closed, so no one is waiting for the answer. */
    HANG_UP
}
