package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;

/**
 * Finds the endpoints that a list of VMs no longer names and that are to be dropped for it.
 *
 * <p>Guards against a list that the platform gives half or empty after a fault of its own: it shows as most of a
 * failure domain missing at once. Such endpoints are kept for as long as they can be reached.
 */
final class MissingEndpoints {
    private MissingEndpoints() {}

    static ImmutableList<EndpointRecord> findRemovable(
            Collection<EndpointRecord> known, Set<EndpointId> named, long nowNanos) {
        Map<FailureDomain, List<EndpointRecord>> listed = new LinkedHashMap<>();
        for (EndpointRecord endpoint : known) {
            if (endpoint.isListed()) {
                listed.computeIfAbsent(endpoint.vm().domain(), domain -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        return listed.values().stream()
                .flatMap(ofDomain -> missing(ofDomain, named, nowNanos).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private static List<EndpointRecord> missing(List<EndpointRecord> ofDomain, Set<EndpointId> named, long nowNanos) {
        List<EndpointRecord> missing = ofDomain.stream()
                .filter(endpoint -> !named.contains(endpoint.id()))
                .toList();
        boolean doubted = named.isEmpty()
                || missing.size() >= HealthPolicy.MISSING_WHEN_DOUBTFUL && missing.size() * 2 > ofDomain.size();
        return missing.stream()
                .filter(endpoint -> !doubted || !endpoint.isKeptWhenMissing(nowNanos))
                .toList();
    }
}
