package org.tarragonarch.wire;

/** The form of the response to a request for a kept answer. The order of the constants is part of the protocol. */
public enum AnswerOutcome {
    /** The complete results follow. */
    COMPLETE,
    /** The caller was answered with the problem that follows. */
    PROBLEM,
    /** The node has no record of the key. */
    NOT_TO_BE_HAD
}
