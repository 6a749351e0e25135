package org.tarragonarch.core.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * Judges by how much likelier an endpoint is broken than healthy, given how its tasks ended.
 *
 * <p>Guards against an endpoint that fails every task at once, looks idle for it, and so draws all work. Each end of a
 * task adds the logarithm of how much likelier it is at a broken endpoint than at a healthy one, where a healthy one
 * fails a kind as often as all other endpoints do. So three failures convict where the kind does not fail elsewhere,
 * and none does where the kind fails everywhere: then the kind is to blame. The sum never falls below 0, so that a long
 * good past does not cover for an endpoint that breaks now.
 */
final class FailureScorer {
    private final Map<KindKey, KindTally> everywhere = new HashMap<>();

    /** Records how a task ended at an endpoint. */
    void add(EndpointRecord endpoint, ServiceName service, KindName kind, boolean failed) {
        KindKey key = new KindKey(service, kind);
        KindTally all = everywhere.computeIfAbsent(key, name -> new KindTally());
        KindTally here = endpoint.tally(key);
        double usual = Math.min(all.failureRateExcluding(here), HealthPolicy.BROKEN_FAILURE_RATE);
        double broken = HealthPolicy.BROKEN_FAILURE_RATE;
        double evidence = failed ? Math.log(broken / usual) : Math.log((1 - broken) / (1 - usual));
        endpoint.addFailureScore(evidence);
        all.add(failed);
        here.add(failed);
    }

    record KindKey(ServiceName service, KindName name) {}
}
