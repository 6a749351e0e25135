package org.tarragonarch.core.event;

/** Why a submission is cancelled. */
public enum CancelCause {
    /** The caller asked for it. */
    CALLER,
    /** The caller's connection closed, so nobody waits for the answer. */
    HANG_UP
}
