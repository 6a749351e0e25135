package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.Iterator;
import java.util.Map;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;

/**
 * The jobs that clients have cancelled recently, whether or not this node has ever had them.
 *
 * <p>Guards against a cancelled job that runs because its submission arrives once more, at another node or through
 * another holder. Every node is told of each cancellation and keeps it for as long as a client may rely on the state of
 * a job. A node that did not receive it, because it was down or cut off, is told when it connects again.
 *
 * <p>The number of jobs is bounded: at 500 cancellations per second, all those of the last two minutes are kept.
 */
public final class CancelledJobs {
    static final int MAX_JOBS = 65_536;

    /** The maximum number of jobs of one source that are repeated; an eighth of the frames that a connection queues. */
    static final int MAX_REPEATED = 512;

    private final Timers timers;
    private final long retentionMillis;

    /** The cancellations, oldest first. */
    private final Map<JobId, Cancellation> cancellations = BoundedMaps.evictingEldest(MAX_JOBS);

    /**
     * Creates an empty set of jobs.
     *
     * @param retentionMillis how long a cancellation is kept, in milliseconds
     */
    public CancelledJobs(Timers timers, long retentionMillis) {
        checkArgument(retentionMillis > 0, "retentionMillis %s is not positive", retentionMillis);
        this.timers = checkNotNull(timers, "timers");
        this.retentionMillis = retentionMillis;
    }

    /** Records a cancellation. */
    void add(JobId job, CancelSource source) {
        removeExpired();
        Cancellation known = cancellations.get(job);
        if (known == null || source.replaces(known.source())) {
            cancellations.remove(job);
            cancellations.put(job, new Cancellation(timers.nowMillis(), source));
        }
    }

    boolean contains(JobId job) {
        removeExpired();
        return cancellations.containsKey(job);
    }

    /** Returns the latest cancellations of this source, oldest first, to repeat to a peer that may have missed them. */
    ImmutableList<JobId> latest(CancelSource source) {
        removeExpired();
        ImmutableList<JobId> all = cancellations.entrySet().stream()
                .filter(entry -> entry.getValue().source() == source)
                .map(Map.Entry::getKey)
                .collect(ImmutableList.toImmutableList());
        return ImmutableList.copyOf(Iterables.skip(all, Math.max(0, all.size() - MAX_REPEATED)));
    }

    private void removeExpired() {
        long expiredBefore = timers.nowMillis() - retentionMillis;
        Iterator<Cancellation> oldestFirst = cancellations.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().atMillis() <= expiredBefore) {
            oldestFirst.remove();
        }
    }

    /**
     * A cancellation.
     *
     * @param atMillis when this node learned of it, on the steady clock
     * @param source how this node learned of it
     */
    private record Cancellation(long atMillis, CancelSource source) {}
}
