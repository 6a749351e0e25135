package org.tarragonarch.standin.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;

/**
 * The options of a run of the load driver. Load goes to loopback only and is bounded in time and count.
 *
 * @param callers the addresses of the nodes for callers, used in turn
 * @param admins the nodes' administration addresses, whose metrics are read; may be empty
 * @param endpoints the stand-in endpoints, whose ledgers are read; may be empty
 * @param token the caller's token
 * @param service the name of the service
 * @param kind the kind of task; its result must be its input
 * @param shape the mix of submissions
 * @param pattern the pattern of the rate over time
 * @param jobsPerSecond the mean rate of submissions
 * @param slots the total slots of all endpoints, for the share of useful work; 0 if unknown
 * @param duration the time during which submissions arrive
 * @param maxJobs the maximum number of submissions
 * @param timeAllowed the time allowed for an answer
 * @param declaredFactor the ratio of the declared to the actual run time; 0 declares none
 * @param keyedShare the share of submissions with an idempotency key
 * @param cancelAt when half of the open submissions are cancelled, since the start; empty for never
 * @param roundTrip the network time of a submission, which is part of its ideal response time
 * @param seed the seed of arrival times and submissions
 */
public record LoadOptions(
        ImmutableList<Address> callers,
        ImmutableList<Address> admins,
        ImmutableList<Address> endpoints,
        String token,
        String service,
        String kind,
        LoadShape shape,
        ArrivalPattern pattern,
        double jobsPerSecond,
        int slots,
        Duration duration,
        int maxJobs,
        Duration timeAllowed,
        double declaredFactor,
        double keyedShare,
        Optional<Duration> cancelAt,
        Duration roundTrip,
        long seed) {
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);
    private static final int MAX_JOBS = 1_000_000;

    /**
     * Creates the options.
     *
     * @throws IllegalArgumentException if an option is out of range or an address is not on loopback
     */
    public LoadOptions {
        checkArgument(!callers.isEmpty(), "there are no caller addresses");
        checkLoopback(callers);
        checkLoopback(admins);
        checkLoopback(endpoints);
        checkArgument(jobsPerSecond > 0, "rate %s is not positive", jobsPerSecond);
        checkArgument(duration.compareTo(MAX_DURATION) <= 0, "duration %s exceeds %s", duration, MAX_DURATION);
        checkArgument(
                maxJobs > 0 && maxJobs <= MAX_JOBS, "number of jobs %s is not between 1 and %s", maxJobs, MAX_JOBS);
        checkArgument(declaredFactor >= 0, "declared factor %s is negative", declaredFactor);
        checkArgument(keyedShare >= 0 && keyedShare <= 1, "keyed share %s is not between 0 and 1", keyedShare);
    }

    private static void checkLoopback(ImmutableList<Address> addresses) {
        for (Address address : addresses) {
            boolean loopback = InetAddresses.forString(address.ip()).isLoopbackAddress();
            checkArgument(loopback, "%s is not on loopback", address);
        }
    }
}
