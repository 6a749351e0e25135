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
    /** What a node knows before the store was read. */
    public static final DrainedDomains UNREAD = new DrainedDomains(0, ImmutableSet.of());

    /** Checks the parts. */
    public DrainedDomains {
        checkArgument(version >= 0, "version %s is negative", version);
        checkNotNull(domains, "domains");
    }

    /** Returns whether no task may be started in the failure domain. */
    public boolean contains(FailureDomain domain) {
        return domains.contains(domain);
    }

    /** Returns whether these replace the others, because they were read at a later version. */
    public boolean isNewerThan(DrainedDomains other) {
        return version > other.version;
    }
}
