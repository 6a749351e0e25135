package org.tarragonarch.core.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.core.placement.RefusalBudget;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.service.Favour;

/** The endpoints of one service by failure domain. */
final class ServicePools {
    private final PlacementStrategy strategy;
    private final DomainPool own;
    private Favour favour = Favour.FEW_MESSAGES;
    private final RefusalBudget refusals = new RefusalBudget();
    private final Map<FailureDomain, DomainPool> others = new LinkedHashMap<>();

    ServicePools(PlacementStrategy strategy) {
        this.strategy = strategy;
        this.own = new DomainPool(strategy);
    }

    DomainPool own() {
        return own;
    }

    /** Returns what the service favoured when it last got a slot. */
    Favour favour() {
        return favour;
    }

    void favours(Favour now) {
        favour = now;
    }

    RefusalBudget refusals() {
        return refusals;
    }

    Map<FailureDomain, DomainPool> others() {
        return others;
    }

    DomainPool other(FailureDomain domain) {
        return others.computeIfAbsent(domain, key -> new DomainPool(strategy));
    }
}
