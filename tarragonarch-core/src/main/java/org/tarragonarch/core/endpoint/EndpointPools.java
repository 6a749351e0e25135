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
import org.tarragonarch.model.service.ServiceObjective;

/** The endpoints of each service by failure domain, and the choice between failure domains. */
final class EndpointPools {
    private final FailureDomain own;
    private final Random random;
    private final PlacementStrategy strategy;
    private final Map<ServiceName, ServicePools> services = new HashMap<>();
    private final Map<FailureDomain, DomainReachability> reaches = new HashMap<>();
    private long nextRetryNanos = Long.MAX_VALUE;

    EndpointPools(FailureDomain own, Random random, PlacementStrategy strategy) {
        this.own = own;
        this.random = random;
        this.strategy = strategy;
    }

    boolean isInOwnDomain(EndpointRecord endpoint) {
        return endpoint.vm().domain().equals(own);
    }

    /** Adds an endpoint, or updates it. */
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
    Optional<EndpointSlots> choose(ServiceName service, ServiceObjective favour, Set<EndpointId> avoid, long nowNanos) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return Optional.empty();
        }
        int slotsLeft = pools.ownDomain().arePeersIdle(nowNanos) ? 0 : favour.slotsLeftWhenBorrowing();
        Optional<EndpointSlots> chosen =
                pools.ownDomain().readySlots().choose(favour, slotsLeft, avoid, random, nowNanos);
        if (chosen.isEmpty() && (favour.spillsWhenFull() || pools.ownDomain().usableEndpoints() == 0)) {
            chosen = chooseElsewhere(pools, favour, avoid, nowNanos);
        }
        if (chosen.isEmpty()) {
            waitToRisk(pools.ownDomain(), nowNanos);
        }
        return chosen;
    }

    /** Counts an end towards the pace of sends that may be refused. */
    void recordResult(ServiceName service, EndpointRecord endpoint, SendResult result, long nowNanos) {
        if (result == SendResult.REFUSED_BUSY) {
            pool(service, endpoint).readySlots().refused(endpoint.slots(), nowNanos);
        } else if (result.started() != SendResult.Started.NO) {
            pool(service, endpoint).readySlots().started();
        }
    }

    /** Returns when a task that was not worth a risk may be; {@code Long.MAX_VALUE} if none waits for it. */
    long nextRetryNanos() {
        return nextRetryNanos;
    }

    /** Forgets that a task waits, because it is tried again now. */
    void clearNextRetry() {
        nextRetryNanos = Long.MAX_VALUE;
    }

    /** Returns the slots of open endpoints that all nodes of the own failure domain may use together. */
    int usableSlots(ServiceName service) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return 0;
        }
        int ownSlots = pools.ownDomain().usableSlots();
        return ownSlots > 0 ? ownSlots : openSlotsElsewhere(pools);
    }

    /** Returns whether every service of an endpoint can do with one endpoint less. */
    boolean canQuarantine(EndpointRecord endpoint) {
        return endpoint.vm().services().stream()
                .allMatch(service -> pool(service, endpoint).canQuarantineOne());
    }

    DomainReachability reachability(EndpointRecord endpoint) {
        return reachability(endpoint.vm().domain());
    }

    private Optional<EndpointSlots> chooseElsewhere(
            ServicePools pools, ServiceObjective favour, Set<EndpointId> avoid, long nowNanos) {
        List<FailureDomain> domains = new ArrayList<>(pools.otherDomains().keySet());
        Collections.shuffle(domains, random);
        for (FailureDomain domain : domains) {
            DomainPool pool = pools.otherDomain(domain);
            if (reachability(domain).isCutOff()) {
                continue;
            }
            if (!pool.readySlots().mayRisk(nowNanos)) {
                waitToRisk(pool, nowNanos);
                continue;
            }
            // With the own failure domain gone there is nothing to fall back upon, so every slot is worth asking for.
            int slotsLeft = pools.ownDomain().usableEndpoints() == 0 ? 0 : favour.slotsLeftWhenBorrowing();
            Optional<EndpointSlots> chosen = pool.readySlots().choose(favour, slotsLeft, avoid, random, nowNanos);
            if (chosen.isPresent()) {
                return chosen;
            }
        }
        return Optional.empty();
    }

    private void waitToRisk(DomainPool pool, long nowNanos) {
        if (!pool.readySlots().mayRisk(nowNanos)) {
            nextRetryNanos = Math.min(nextRetryNanos, pool.readySlots().riskNanos());
        }
    }

    private int openSlotsElsewhere(ServicePools pools) {
        return pools.otherDomains().entrySet().stream()
                .filter(entry -> !reachability(entry.getKey()).isCutOff())
                .mapToInt(entry -> entry.getValue().usableSlots())
                .sum();
    }

    private DomainPool pool(ServiceName service, EndpointRecord endpoint) {
        ServicePools pools = services.computeIfAbsent(service, key -> new ServicePools(strategy));
        return isInOwnDomain(endpoint)
                ? pools.ownDomain()
                : pools.otherDomain(endpoint.vm().domain());
    }

    private DomainReachability reachability(FailureDomain domain) {
        return reaches.computeIfAbsent(domain, key -> new DomainReachability());
    }
}
