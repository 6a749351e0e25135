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
 * Finds the endpoints to remove because a VM list no longer contains them.
 *
 * <p>After a platform fault the VM list may be empty or incomplete. A list that lacks most of a failure domain at once
 * is therefore doubtful, and the missing endpoints are kept as long as they can be reached.
 */
final class MissingEndpoints {
    private MissingEndpoints() {}

    static ImmutableList<EndpointRecord> findRemovable(
            Collection<EndpointRecord> known, Set<EndpointId> listedNow, long nowNanos) {
        Map<FailureDomain, List<EndpointRecord>> listedByDomain = new LinkedHashMap<>();
        for (EndpointRecord endpoint : known) {
            if (endpoint.isListed()) {
                listedByDomain
                        .computeIfAbsent(endpoint.vm().domain(), domain -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        return listedByDomain.values().stream()
                .flatMap(ofDomain -> removable(ofDomain, listedNow, nowNanos).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private static List<EndpointRecord> removable(
            List<EndpointRecord> ofDomain, Set<EndpointId> listedNow, long nowNanos) {
        List<EndpointRecord> missing = ofDomain.stream()
                .filter(endpoint -> !listedNow.contains(endpoint.id()))
                .toList();
        boolean doubtful = listedNow.isEmpty()
                || missing.size() >= HealthPolicy.MISSING_WHEN_DOUBTFUL && missing.size() * 2 > ofDomain.size();
        return missing.stream()
                .filter(endpoint -> !doubtful || !endpoint.isKeptWhenMissing(nowNanos))
                .toList();
    }
}
