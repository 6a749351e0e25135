package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.task.Resources;

/** The processor time of the endpoints of each service that take tasks, or will within moments. */
final class PoolCapacity {
    /** How long a sum stands: it changes as endpoints come and go, and is asked for with every start. */
    private static final long VALID_MILLIS = 20;

    private final Iterable<HeldEndpoint> endpoints;
    private final Map<String, Long> byService = new HashMap<>();
    private long countedAtMillis = Long.MIN_VALUE / 2;

    PoolCapacity(Iterable<HeldEndpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /** Returns the capacity for a service, in thousandths of a core. */
    long of(String service, long nowMillis) {
        if (nowMillis - countedAtMillis >= VALID_MILLIS) {
            countedAtMillis = nowMillis;
            byService.clear();
            for (HeldEndpoint endpoint : endpoints) {
                if (endpoint.takes(Resources.NONE, nowMillis) || endpoint.isInitializing()) {
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
