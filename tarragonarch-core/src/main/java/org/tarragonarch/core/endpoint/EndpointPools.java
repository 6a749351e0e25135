package org.tarragonarch.core.endpoint;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.placement.EndpointSlots;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.service.Favour;

/** The endpoints of each service by failure domain, and the choice between failure domains. */
final class EndpointPools {
    private final FailureDomain own;
    private final Random random;
    private final PlacementStrategy strategy;
    private final Map<ServiceName, ServicePools> services = new HashMap<>();
    private final Map<FailureDomain, DomainReach> reaches = new HashMap<>();
    private long riskAgainNanos = Long.MAX_VALUE;

    EndpointPools(FailureDomain own, Random random, PlacementStrategy strategy) {
        this.own = own;
        this.random = random;
        this.strategy = strategy;
    }

    boolean inOwnDomain(EndpointRecord endpoint) {
        return endpoint.vm().domain().equals(own);
    }

    /** Adds an endpoint, or takes in whatever changed of it. */
    void update(EndpointRecord endpoint, long nowNanos) {
        for (ServiceName service : endpoint.vm().services()) {
            pool(service, endpoint).update(endpoint, nowNanos);
        }
    }

    void remove(EndpointRecord endpoint) {
        for (ServiceName service : endpoint.vm().services()) {
            pool(service, endpoint).remove(endpoint);
        }
    }

    /** Returns where the next task goes: in the own failure domain, or elsewhere if the favour lets it spill. */
    Optional<EndpointSlots> choose(ServiceName service, Favour favour, Set<EndpointId> avoid, long nowNanos) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return Optional.empty();
        }
        boolean mayRisk = pools.refusals().allows(favour, nowNanos);
        Optional<EndpointSlots> chosen = pools.own().choose(favour, mayRisk, avoid, random);
        if (chosen.isEmpty()
                && mayRisk
                && (favour.spillsWhenFull() || pools.own().open() == 0)) {
            chosen = chooseElsewhere(pools, favour, avoid, nowNanos);
        }
        if (chosen.isEmpty() && !mayRisk) {
            riskAgainNanos = Math.min(riskAgainNanos, pools.refusals().nextNanos(favour));
        }
        if (chosen.isPresent()) {
            pools.favours(favour);
        }
        return chosen;
    }

    /** Counts a send towards the bound on refused ones. */
    void counted(ServiceName service, SendResult result) {
        ServicePools pools = services.computeIfAbsent(service, key -> new ServicePools(strategy));
        if (result == SendResult.REFUSED_BUSY) {
            pools.refusals().refused();
        } else if (result.started() != SendResult.Started.NO) {
            pools.refusals().started(pools.favour());
        }
    }

    /** Returns when a task that was not worth a risk may be; {@code Long.MAX_VALUE} if none waits for it. */
    long riskAgainNanos() {
        return riskAgainNanos;
    }

    /** Forgets that a task waits, because it is tried again now. */
    void riskedAgain() {
        riskAgainNanos = Long.MAX_VALUE;
    }

    /** Returns the slots of open endpoints that all nodes of the own failure domain may use together. */
    int openSlots(ServiceName service) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return 0;
        }
        int ownSlots = pools.own().openSlots();
        return ownSlots > 0 ? ownSlots : openSlotsElsewhere(pools);
    }

    /** Returns whether every service of an endpoint can do with one endpoint less. */
    boolean spareOne(EndpointRecord endpoint) {
        return endpoint.vm().services().stream()
                .allMatch(service -> pool(service, endpoint).sparesOne());
    }

    DomainReach reach(EndpointRecord endpoint) {
        return reach(endpoint.vm().domain());
    }

    private Optional<EndpointSlots> chooseElsewhere(
            ServicePools pools, Favour favour, Set<EndpointId> avoid, long nowNanos) {
        List<FailureDomain> domains = new ArrayList<>(pools.others().keySet());
        Collections.shuffle(domains, random);
        for (FailureDomain domain : domains) {
            if (reach(domain).open(nowNanos)) {
                Optional<EndpointSlots> chosen = pools.other(domain).choose(favour, true, avoid, random);
                if (chosen.isPresent()) {
                    return chosen;
                }
            }
        }
        return Optional.empty();
    }

    private int openSlotsElsewhere(ServicePools pools) {
        return pools.others().entrySet().stream()
                .filter(entry -> !reach(entry.getKey()).isCut())
                .mapToInt(entry -> entry.getValue().openSlots())
                .sum();
    }

    private DomainPool pool(ServiceName service, EndpointRecord endpoint) {
        ServicePools pools = services.computeIfAbsent(service, key -> new ServicePools(strategy));
        return inOwnDomain(endpoint) ? pools.own() : pools.other(endpoint.vm().domain());
    }

    private DomainReach reach(FailureDomain domain) {
        return reaches.computeIfAbsent(domain, key -> new DomainReach());
    }
}
