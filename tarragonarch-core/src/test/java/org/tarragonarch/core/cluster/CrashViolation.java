package org.tarragonarch.core.cluster;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A broken rule.
 *
 * @param rule the rule
 * @param what what happened
 */
record CrashViolation(CrashRule rule, String what) {
    /** Checks that no component is null. */
    CrashViolation {
        checkNotNull(rule, "rule");
        checkNotNull(what, "what");
    }

    @Override
    public String toString() {
        return rule + ": " + what;
    }
}
