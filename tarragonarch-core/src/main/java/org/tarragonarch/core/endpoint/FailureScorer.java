package org.tarragonarch.core.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * Scores endpoints by the likelihood that they are broken, given the results of their tasks.
 *
 * <p>An endpoint that fails every task at once always looks idle and so attracts all work. To find it, each result adds
 * a log likelihood ratio to the score of its endpoint: how much likelier the result is at a broken endpoint than at a
 * healthy one, which fails a kind as often as all other endpoints do. Three failures lead to quarantine if the kind
 * does not fail elsewhere. No failure does if the kind fails everywhere, since then the kind is at fault. The score
 * never falls below 0, so that a long series of successes does not hide an endpoint that breaks now.
 */
final class FailureScorer {
    private final Map<KindKey, KindTally> totals = new HashMap<>();

    /** Adds the result of a task to the score of its endpoint. */
    void add(EndpointRecord endpoint, ServiceName service, KindName kind, boolean failed) {
        KindKey key = new KindKey(service, kind);
        KindTally total = totals.computeIfAbsent(key, name -> new KindTally());
        KindTally own = endpoint.tally(key);
        double usual = Math.min(total.failureRateExcluding(own), HealthPolicy.BROKEN_FAILURE_RATE);
        double broken = HealthPolicy.BROKEN_FAILURE_RATE;
        double logRatio = failed ? Math.log(broken / usual) : Math.log((1 - broken) / (1 - usual));
        endpoint.addFailureScore(logRatio);
        total.add(failed);
        own.add(failed);
    }

    record KindKey(ServiceName service, KindName name) {}
}
