package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/** What operators have taken out of use: single endpoints, and whole failure domains. */
final class OperatorDrains {
    private final Set<EndpointId> endpoints = new HashSet<>();
    private ImmutableSet<FailureDomain> domains = ImmutableSet.of();

    /** Takes an endpoint out, or puts it back; returns whether that changes anything. */
    boolean setDrained(EndpointId endpoint, boolean out) {
        return out ? endpoints.add(endpoint) : endpoints.remove(endpoint);
    }

    /** Records which failure domains are out of use. */
    void setDrainedDomains(ImmutableSet<FailureDomain> drained) {
        domains = drained;
    }

    /** Returns whether an endpoint must get no new task. */
    boolean isDrained(EndpointId endpoint, FailureDomain domain) {
        return endpoints.contains(endpoint) || domains.contains(domain);
    }
}
