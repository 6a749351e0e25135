package org.tarragonarch.standin.platform;

import java.util.Optional;

/** An active fault, with the calls it affects and the number of calls it still affects. */
final class Fault {
    private static final String WILDCARD = "*";

    private final FaultType type;
    private final Optional<Part> part;
    private final Optional<String> client;
    private final long milliseconds;
    private int remaining;

    /**
     * Creates a fault.
     *
     * @param type the type of the fault
     * @param part the affected part of the platform; empty for all
     * @param client the affected client's name, or a prefix of names followed by {@code *}; empty for all
     * @param milliseconds the delay of a slow answer, in milliseconds
     * @param count the number of calls it affects
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

    /** Returns whether the fault affects a call; if it does, decrements the remaining count. */
    synchronized boolean tryApply(Part called, Optional<String> caller, boolean write) {
        boolean matches = part.map(called::equals).orElse(true)
                && client.map(pattern -> matches(pattern, caller.orElse(""))).orElse(true)
                && (write || type != FaultType.REPLY_LOST);
        if (!matches || remaining == 0) {
            return false;
        }
        remaining--;
        return true;
    }

    private static boolean matches(String pattern, String name) {
        return pattern.endsWith(WILDCARD)
                ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : name.equals(pattern);
    }
}
