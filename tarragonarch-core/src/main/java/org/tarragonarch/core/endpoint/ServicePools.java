package org.tarragonarch.core.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.model.id.FailureDomain;

/** The endpoints of one service by failure domain. */
final class ServicePools {
    private final PlacementStrategy strategy;
    private final DomainPool own;
    private final Map<FailureDomain, DomainPool> others = new LinkedHashMap<>();

    ServicePools(PlacementStrategy strategy) {
        this.strategy = strategy;
        this.own = new DomainPool(strategy);
    }

    DomainPool own() {
        return own;
    }

    Map<FailureDomain, DomainPool> others() {
        return others;
    }

    DomainPool other(FailureDomain domain) {
        return others.computeIfAbsent(domain, key -> new DomainPool(strategy));
    }
}
