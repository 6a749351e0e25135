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

/** The endpoints of each service by failure domain; selects the failure domain for a task. */
final class EndpointPools {
    private final FailureDomain ownDomain;
    private final Random random;
    private final PlacementStrategy strategy;
    private final Map<ServiceName, ServicePools> services = new HashMap<>();
    private final Map<FailureDomain, DomainReachability> reachability = new HashMap<>();
    private long nextRetryNanos = Long.MAX_VALUE;

    EndpointPools(FailureDomain ownDomain, Random random, PlacementStrategy strategy) {
        this.ownDomain = ownDomain;
        this.random = random;
        this.strategy = strategy;
    }

    boolean isInOwnDomain(EndpointRecord endpoint) {
        return endpoint.vm().domain().equals(ownDomain);
    }

    /** Adds or updates an endpoint. */
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

    /** Selects an endpoint in the own failure domain, or in another one if the objective allows a spill. */
    Optional<EndpointSlots> choose(
            ServiceName service, ServiceObjective objective, Set<EndpointId> avoid, long nowNanos) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return Optional.empty();
        }
        int slotsLeft = pools.ownDomain().arePeersIdle(nowNanos) ? 0 : objective.slotsLeftWhenBorrowing();
        Optional<EndpointSlots> chosen =
                pools.ownDomain().readySlots().choose(objective, slotsLeft, avoid, random, nowNanos);
        if (chosen.isEmpty() && (objective.spillsWhenFull() || pools.ownDomain().usableEndpoints() == 0)) {
            chosen = chooseElsewhere(pools, objective, avoid, nowNanos);
        }
        if (chosen.isEmpty()) {
            scheduleRetry(pools.ownDomain(), nowNanos);
        }
        return chosen;
    }

    /** Records the result of a send, which controls the pace of sends that may be refused. */
    void recordResult(ServiceName service, EndpointRecord endpoint, SendResult result, long nowNanos) {
        if (result == SendResult.REFUSED_BUSY) {
            pool(service, endpoint).readySlots().refused(endpoint.slots(), nowNanos);
        } else if (result.started() != SendResult.Started.NO) {
            pool(service, endpoint).readySlots().started();
        }
    }

    /** Returns when a send held back by the pace may be retried; {@code Long.MAX_VALUE} if none is held back. */
    long nextRetryNanos() {
        return nextRetryNanos;
    }

    /** Clears the retry time, because waiting tasks are tried again now. */
    void clearNextRetry() {
        nextRetryNanos = Long.MAX_VALUE;
    }

    /**
     * Returns the number of slots that all nodes of the own failure domain together may use: those of its own usable
     * endpoints, or those of other reachable domains if it has none.
     */
    int usableSlots(ServiceName service) {
        ServicePools pools = services.get(service);
        if (pools == null) {
            return 0;
        }
        int ownSlots = pools.ownDomain().usableSlots();
        return ownSlots > 0 ? ownSlots : openSlotsElsewhere(pools);
    }

    /** Returns whether quarantining the endpoint leaves enough endpoints to each of its services. */
    boolean canQuarantine(EndpointRecord endpoint) {
        return endpoint.vm().services().stream()
                .allMatch(service -> pool(service, endpoint).canQuarantineOne());
    }

    DomainReachability reachability(EndpointRecord endpoint) {
        return reachability(endpoint.vm().domain());
    }

    private Optional<EndpointSlots> chooseElsewhere(
            ServicePools pools, ServiceObjective objective, Set<EndpointId> avoid, long nowNanos) {
        List<FailureDomain> domains = new ArrayList<>(pools.otherDomains().keySet());
        Collections.shuffle(domains, random);
        for (FailureDomain domain : domains) {
            DomainPool pool = pools.otherDomain(domain);
            if (reachability(domain).isCutOff()) {
                continue;
            }
            if (!pool.readySlots().allowsRiskySend(nowNanos)) {
                scheduleRetry(pool, nowNanos);
                continue;
            }
            // Without usable endpoints in the own domain there is no fallback, so every slot is tried.
            int slotsLeft = pools.ownDomain().usableEndpoints() == 0 ? 0 : objective.slotsLeftWhenBorrowing();
            Optional<EndpointSlots> chosen = pool.readySlots().choose(objective, slotsLeft, avoid, random, nowNanos);
            if (chosen.isPresent()) {
                return chosen;
            }
        }
        return Optional.empty();
    }

    private void scheduleRetry(DomainPool pool, long nowNanos) {
        if (!pool.readySlots().allowsRiskySend(nowNanos)) {
            nextRetryNanos = Math.min(nextRetryNanos, pool.readySlots().nextRiskySendNanos());
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
        return reachability.computeIfAbsent(domain, key -> new DomainReachability());
    }
}
