package org.tarragonarch.standin.endpoint;

import java.util.Optional;

/** An active fault, with the kind of task it affects and the number of tasks it still affects. */
final class Fault {
    private final FaultType type;
    private final Optional<String> kind;
    private final long milliseconds;
    private int remaining;

    Fault(FaultType type, Optional<String> kind, long milliseconds, int count) {
        this.type = type;
        this.kind = kind;
        this.milliseconds = milliseconds;
        this.remaining = count;
    }

    FaultType type() {
        return type;
    }

    long milliseconds() {
        return milliseconds;
    }

    /** Returns whether the fault affects a task of a kind; if it does, decrements the remaining count. */
    synchronized boolean tryApply(String taskKind) {
        if (remaining == 0 || !kind.map(taskKind::equals).orElse(true)) {
            return false;
        }
        remaining--;
        return true;
    }
}
