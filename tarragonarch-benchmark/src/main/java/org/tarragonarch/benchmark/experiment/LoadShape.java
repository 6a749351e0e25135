package org.tarragonarch.benchmark.experiment;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.tarragonarch.model.share.ShareSettings;

/**
 * A cluster and the load on it; read from a file of JSON with comments.
 *
 * @param domains how many failure domains there are
 * @param nodesPerDomain how many nodes stand in each
 * @param endpointsPerDomain how many endpoints stand in each
 * @param endpointMilliCores the room of a small endpoint; every third is half as large again
 * @param speeds how fast endpoints are, in turn
 * @param insideMicros one way between processes of one domain
 * @param betweenMicros one way between domains
 * @param startMillis from a node's start until it takes part
 * @param jobsPerSecond the mean rate of all domains together
 * @param domainWeights how the rate is divided
 * @param stretch an answer is in time within this multiple of its longest task, and the objective more
 * @param lengthMillis how long jobs come
 * @param kinds the kinds of job
 * @param disturbances what happens meanwhile
 * @param stragglerPart the part of all tasks that run longer than the others of their job
 * @param stragglerFactor how many times as long they run
 * @param shares how holders divide capacity among priorities; left out, there are no shares
 */
public record LoadShape(
        int domains,
        int nodesPerDomain,
        int endpointsPerDomain,
        long endpointMilliCores,
        List<Double> speeds,
        long insideMicros,
        long betweenMicros,
        long startMillis,
        double jobsPerSecond,
        List<Double> domainWeights,
        double stretch,
        long lengthMillis,
        List<JobKind> kinds,
        List<Disturbance> disturbances,
        double stragglerPart,
        double stragglerFactor,
        List<ShareSettings> shares) {
    /** Checks that the parts fit each other. */
    public LoadShape {
        checkArgument(domains >= 1, "domains %s is below 1", domains);
        checkArgument(nodesPerDomain >= 1, "nodesPerDomain %s is below 1", nodesPerDomain);
        checkArgument(endpointsPerDomain >= 1, "endpointsPerDomain %s is below 1", endpointsPerDomain);
        checkArgument(domainWeights.size() == domains, "%s weights for %s domains", domainWeights.size(), domains);
        speeds = ImmutableList.copyOf(checkNotNull(speeds, "speeds"));
        domainWeights = ImmutableList.copyOf(domainWeights);
        kinds = ImmutableList.copyOf(checkNotNull(kinds, "kinds"));
        disturbances = ImmutableList.copyOf(checkNotNull(disturbances, "disturbances"));
        shares = shares == null ? ImmutableList.of() : ImmutableList.copyOf(shares);
    }

    /** Returns the same cluster under another rate. */
    public LoadShape withJobsPerSecond(double rate) {
        return with(rate, shares);
    }

    /** Returns the same cluster under another division of capacity. */
    public LoadShape withShares(List<ShareSettings> division) {
        return with(jobsPerSecond, division);
    }

    private LoadShape with(double rate, List<ShareSettings> division) {
        return new LoadShape(
                domains,
                nodesPerDomain,
                endpointsPerDomain,
                endpointMilliCores,
                speeds,
                insideMicros,
                betweenMicros,
                startMillis,
                rate,
                domainWeights,
                stretch,
                lengthMillis,
                kinds,
                disturbances,
                stragglerPart,
                stragglerFactor,
                division);
    }

    long latencyMicros(int domain, int otherDomain) {
        return domain == otherDomain ? insideMicros : betweenMicros;
    }

    /** Returns how many times as fast jobs of a kind come at a time. */
    double burstFactorAt(JobKind kind, long millis) {
        return disturbances.stream()
                .filter(each ->
                        each.kind() == DisturbanceKind.BURST && each.isActiveAt(millis) && each.appliesTo(kind.name()))
                .mapToDouble(Disturbance::factor)
                .reduce(1, (first, second) -> first * second);
    }
}
