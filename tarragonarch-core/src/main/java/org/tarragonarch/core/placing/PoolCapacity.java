package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.task.Resources;

/** The processor time, by service, of the endpoints that accept tasks or are initializing. */
final class PoolCapacity {
    /** The time for which the sums are cached: they change only with the endpoints, and are read at every start. */
    private static final long CACHED_FOR_MILLIS = 20;

    private final Iterable<HeldEndpoint> endpoints;
    private final Map<String, Long> byService = new HashMap<>();
    private long countedAtMillis = Long.MIN_VALUE / 2;

    PoolCapacity(Iterable<HeldEndpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns the processor time for a service, in thousandths of a core. */
    long of(String service, long nowMillis) {
        if (nowMillis - countedAtMillis >= CACHED_FOR_MILLIS) {
            countedAtMillis = nowMillis;
            byService.clear();
            for (HeldEndpoint endpoint : endpoints) {
                if (endpoint.accepts(Resources.NONE, nowMillis) || endpoint.isInitializing()) {
                    byService.merge(
                            endpoint.entry().service(),
                            endpoint.entry().capacity().milliCores(),
                            Long::sum);
                }
            }
        }
        return byService.getOrDefault(service, 0L);
    }
}
