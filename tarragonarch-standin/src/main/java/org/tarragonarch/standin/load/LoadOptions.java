package org.tarragonarch.standin.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.Address;

/**
 * What a run of the load driver does.
 *
 * @param callers the nodes' caller addresses, used in turn
 * @param admins the nodes' administration addresses, whose metrics are read; may be empty
 * @param endpoints the stand-in endpoints, whose ledgers are read; may be empty
 * @param token the caller's token
 * @param service the service called
 * @param kind the kind of work; it must give its input back
 * @param shape the mix of submissions
 * @param pattern how the rate changes with time
 * @param jobsPerSecond the mean rate of submissions
 * @param slots the slots of all endpoints together, for the figure of useful work; 0 if not known
 * @param duration how long submissions arrive
 * @param maxJobs the most submissions
 * @param timeAllowed how long an answer is awaited
 * @param declaredFactor declared run time over the true one; 0 declares none
 * @param keyedShare the share of submissions with an idempotency key
 * @param cancelAt when half of the running submissions are cancelled, if ever
 * @param roundTrip the round trips that a submission cannot avoid, part of the ideal
 * @param seed the seed of arrivals and submissions
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
    private static final Duration LONGEST = Duration.ofMinutes(10);
    private static final int MOST_JOBS = 1_000_000;

    /** Checks the parts; load goes to loopback only and is bounded in time and count. */
    public LoadOptions {
        checkArgument(!callers.isEmpty(), "no node to call");
        checkLoopback(callers);
        checkLoopback(admins);
        checkLoopback(endpoints);
        checkArgument(jobsPerSecond > 0, "rate %s is not positive", jobsPerSecond);
        checkArgument(duration.compareTo(LONGEST) <= 0, "duration %s is over %s", duration, LONGEST);
        checkArgument(maxJobs > 0 && maxJobs <= MOST_JOBS, "%s jobs are not between 1 and %s", maxJobs, MOST_JOBS);
        checkArgument(declaredFactor >= 0, "declared factor %s is negative", declaredFactor);
        checkArgument(keyedShare >= 0 && keyedShare <= 1, "share %s is not between 0 and 1", keyedShare);
    }

    private static void checkLoopback(ImmutableList<Address> addresses) {
        for (Address address : addresses) {
            boolean loopback = InetAddresses.forString(address.ip()).isLoopbackAddress();
            checkArgument(loopback, "%s is not on loopback", address);
        }
    }
}
