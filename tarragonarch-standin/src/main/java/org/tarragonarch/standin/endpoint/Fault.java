package org.tarragonarch.standin.endpoint;

import java.util.Optional;

/** One fault that is switched on, with the tasks it strikes and how often it still does. */
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

    /** Returns whether the fault strikes a task of a kind, which uses up one of its strikes. */
    synchronized boolean tryApply(String kindOfTask) {
        if (remaining == 0 || !kind.map(kindOfTask::equals).orElse(true)) {
            return false;
        }
        remaining--;
        return true;
    }
}
