package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/** The endpoints and failure domains that operators have drained. */
final class OperatorDrains {
    private final Set<EndpointId> endpoints = new HashSet<>();
    private ImmutableSet<FailureDomain> domains = ImmutableSet.of();

    /** Drains or undrains an endpoint; returns whether this changes its state. */
    boolean setDrained(EndpointId endpoint, boolean drained) {
        return drained ? endpoints.add(endpoint) : endpoints.remove(endpoint);
    }

    /** Sets the drained failure domains. */
    void setDrainedDomains(ImmutableSet<FailureDomain> drained) {
        domains = drained;
    }

    /** Returns whether an endpoint is drained, by itself or with its failure domain. */
    boolean isDrained(EndpointId endpoint, FailureDomain domain) {
        return endpoints.contains(endpoint) || domains.contains(domain);
    }
}
