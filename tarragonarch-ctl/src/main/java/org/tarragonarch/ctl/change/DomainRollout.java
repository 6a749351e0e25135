package org.tarragonarch.ctl.change;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The rollout of a version in one failure domain.
 *
 * @param domain the failure domain
 * @param inForce the nodes that have the version or a newer one in force
 * @param outdated the nodes that have an older version in force
 * @param unreachable the nodes that cannot be reached
 */
public record DomainRollout(
        String domain,
        ImmutableList<String> inForce,
        ImmutableList<String> outdated,
        ImmutableList<String> unreachable) {
    /** Creates a domain rollout. */
    public DomainRollout {
        checkNotNull(domain, "domain");
        checkNotNull(inForce, "inForce");
        checkNotNull(outdated, "outdated");
        checkNotNull(unreachable, "unreachable");
    }

    /** Returns the state of the rollout. */
    public RolloutState state() {
        if (!outdated.isEmpty()) {
            return RolloutState.NOT_YET;
        }
        return unreachable.isEmpty() ? RolloutState.IN_FORCE : RolloutState.CANNOT_BE_REACHED;
    }

    /** Returns the number of known nodes in the domain. */
    public int nodeCount() {
        return inForce.size() + outdated.size() + unreachable.size();
    }

    /** Returns a description of the nodes without the version, or an empty string if there are none. */
    public String describeMissing() {
        String older = outdated.isEmpty() ? "" : "an older version on " + String.join(", ", outdated);
        String unreached = unreachable.isEmpty() ? "" : "cannot reach " + String.join(", ", unreachable);
        return older.isEmpty() || unreached.isEmpty() ? older + unreached : older + "; " + unreached;
    }
}
