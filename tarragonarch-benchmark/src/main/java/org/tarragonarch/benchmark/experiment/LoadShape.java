package org.tarragonarch.benchmark.experiment;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.tarragonarch.model.share.ShareSettings;

/**
 * The shape of a cluster and of the load on it, read from a file of JSON with comments.
 *
 * @param domains the number of failure domains
 * @param nodesPerDomain the number of nodes in each failure domain
 * @param endpointsPerDomain the number of endpoints in each failure domain
 * @param endpointMilliCores the capacity of a small endpoint; every third endpoint is half as large again
 * @param speeds the speeds of endpoints, assigned in rotation
 * @param insideMicros the one-way latency between processes of one domain
 * @param betweenMicros the one-way latency between domains
 * @param startMillis the time that a node takes to start
 * @param jobsPerSecond the mean rate of all domains together
 * @param domainWeights the relative rates of the domains
 * @param stretch an answer is in time within this multiple of its longest task's run time plus the objective
 * @param lengthMillis the period in which jobs are sent
 * @param kinds the kinds of job
 * @param disturbances the disturbances of the run
 * @param stragglerPart the fraction of tasks that run longer than the others of their job
 * @param stragglerFactor the factor of their run times
 * @param shares the shares by which holders divide capacity among priorities; null or empty for none
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
    /** Validates the numbers of domains, nodes, endpoints and weights. */
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

    /** Returns a copy of this shape with another rate. */
    public LoadShape withJobsPerSecond(double rate) {
        return with(rate, shares);
    }

    /** Returns a copy of this shape with other shares. */
    public LoadShape withShares(List<ShareSettings> newShares) {
        return with(jobsPerSecond, newShares);
    }

    private LoadShape with(double rate, List<ShareSettings> newShares) {
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
                newShares);
    }

    long latencyMicros(int domain, int otherDomain) {
        return domain == otherDomain ? insideMicros : betweenMicros;
    }

    /** Returns the factor by which bursts multiply the rate of a kind at a time in milliseconds. */
    double burstFactorAt(JobKind kind, long millis) {
        return disturbances.stream()
                .filter(each ->
                        each.kind() == DisturbanceKind.BURST && each.isActiveAt(millis) && each.appliesTo(kind.name()))
                .mapToDouble(Disturbance::factor)
                .reduce(1, (first, second) -> first * second);
    }
}
