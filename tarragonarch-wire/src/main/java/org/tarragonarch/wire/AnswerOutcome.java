package org.tarragonarch.wire;

/** What a node answers when asked for a kept answer. The order is part of the protocol. */
public enum AnswerOutcome {
    /** The results are whole and follow. */
    COMPLETE,
    /** The caller was answered with the problem that follows. */
    PROBLEM,
    /** The node has no memory of the key. */
    NOT_TO_BE_HAD
}
