package org.tarragonarch.core.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.model.id.FailureDomain;

/** The endpoints of one service by failure domain. */
final class ServicePools {
    private final PlacementStrategy strategy;
    private final DomainPool ownDomain;
    private final Map<FailureDomain, DomainPool> otherDomains = new LinkedHashMap<>();

    ServicePools(PlacementStrategy strategy) {
        this.strategy = strategy;
        this.ownDomain = new DomainPool(strategy);
    }

    DomainPool ownDomain() {
        return ownDomain;
    }

    Map<FailureDomain, DomainPool> otherDomains() {
        return otherDomains;
    }

    DomainPool otherDomain(FailureDomain domain) {
        return otherDomains.computeIfAbsent(domain, key -> new DomainPool(strategy));
    }
}
