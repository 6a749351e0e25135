package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The failure domains that operators have drained, as of one version of the platform's store.
 *
 * @param version the store's version, 0 if the store was never read
 * @param domains the failure domains in which no task may be started
 */
public record DrainedDomains(long version, ImmutableSet<FailureDomain> domains) {
    /** The value before the store was first read. */
    public static final DrainedDomains UNREAD = new DrainedDomains(0, ImmutableSet.of());

    /** Checks that the version is not negative and the set not null. */
    public DrainedDomains {
        checkArgument(version >= 0, "version %s is negative", version);
        checkNotNull(domains, "domains");
    }

    /** Returns whether no task may be started in the failure domain. */
    public boolean contains(FailureDomain domain) {
        return domains.contains(domain);
    }

    /** Returns whether this set is of a later version than the other and so replaces it. */
    public boolean isNewerThan(DrainedDomains other) {
        return version > other.version;
    }
}
