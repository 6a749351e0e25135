package org.tarragonarch.ctl.change;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * How far a version has come in one failure domain.
 *
 * @param domain the failure domain
 * @param inForce the nodes that have it in force
 * @param outdated the nodes that have an older version in force
 * @param unreachable the nodes that cannot be reached
 */
public record DomainRollout(
        String domain,
        ImmutableList<String> inForce,
        ImmutableList<String> outdated,
        ImmutableList<String> unreachable) {
    /** Checks the parts. */
    public DomainRollout {
        checkNotNull(domain, "domain");
        checkNotNull(inForce, "inForce");
        checkNotNull(outdated, "notYet");
        checkNotNull(unreachable, "unreachable");
    }

    /** Returns how far the version has come. */
    public RolloutState state() {
        if (!outdated.isEmpty()) {
            return RolloutState.NOT_YET;
        }
        return unreachable.isEmpty() ? RolloutState.IN_FORCE : RolloutState.CANNOT_BE_REACHED;
    }

    /** Returns how many nodes the domain has, as far as they are known. */
    public int nodeCount() {
        return inForce.size() + outdated.size() + unreachable.size();
    }

    /** Returns in words which nodes lack the version; empty where none does. */
    public String describeMissing() {
        String older = outdated.isEmpty() ? "" : "an older version on " + String.join(", ", outdated);
        String silent = unreachable.isEmpty() ? "" : "no word from " + String.join(", ", unreachable);
        return older.isEmpty() || silent.isEmpty() ? older + silent : older + "; " + silent;
    }
}
