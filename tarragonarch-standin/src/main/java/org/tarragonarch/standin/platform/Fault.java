package org.tarragonarch.standin.platform;

import java.util.Optional;

/** One fault that is switched on, with whom it meets and how often it still strikes. */
final class Fault {
    private static final String ANY_SUFFIX = "*";

    private final FaultType type;
    private final Optional<Part> part;
    private final Optional<String> client;
    private final long milliseconds;
    private int remaining;

    /**
     * Creates a fault.
     *
     * @param type what goes wrong
     * @param part the part it strikes; empty for all
     * @param client the clients it strikes, by name, or by the beginning of the name if a star ends it; empty for all
     * @param milliseconds the delay of a slow answer
     * @param count how many calls it strikes
     */
    Fault(FaultType type, Optional<Part> part, Optional<String> client, long milliseconds, int count) {
        this.type = type;
        this.part = part;
        this.client = client;
        this.milliseconds = milliseconds;
        this.remaining = count;
    }

    FaultType type() {
        return type;
    }

    long milliseconds() {
        return milliseconds;
    }

    /** Returns whether the fault strikes this call, which uses up one of its strikes. */
    synchronized boolean tryApply(Part called, Optional<String> caller, boolean write) {
        boolean concerned = part.map(called::equals).orElse(true)
                && client.map(pattern -> matches(pattern, caller.orElse(""))).orElse(true)
                && (write || type != FaultType.REPLY_LOST);
        if (!concerned || remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    private static boolean matches(String pattern, String name) {
        return pattern.endsWith(ANY_SUFFIX)
                ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : name.equals(pattern);
    }
}
