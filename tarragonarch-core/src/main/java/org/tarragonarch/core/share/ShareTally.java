package org.tarragonarch.core.share;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareUse;

/**
 * The processor time in use on the endpoints of one failure domain, by share.
 *
 * <p>Updated as capacity is reserved and released, so that reading it with every start is cheap.
 */
public final class ShareTally {
    /**
     * Rates are kept as integers, in millionths of a core per millisecond, so that adding and removing a run cancel.
     */
    static final long RATE_UNITS = 1_000;

    private final Map<ShareId, Sums> byShare = new HashMap<>();

    /** Creates an empty tally. */
    public ShareTally() {}

    /**
     * Adds a run.
     *
     * @param milliCores the processor time that it occupies, in thousandths of a core
     * @param expectedRunMillis its expected run time, in milliseconds
     */
    public void reserved(ShareId share, long milliCores, long expectedRunMillis) {
        add(share, milliCores, rate(milliCores, expectedRunMillis));
    }

    /** Removes a run; the values must be those with which it was added. */
    public void released(ShareId share, long milliCores, long expectedRunMillis) {
        add(share, -milliCores, -rate(milliCores, expectedRunMillis));
    }

    /** Returns the processor time that a share has in use, in thousandths of a core. */
    public long usedMilliCores(ShareId share) {
        Sums sums = byShare.get(share);
        return sums == null ? 0 : sums.milliCores;
    }

    /** Returns the rate at which the runs of a share are expected to end, in thousandths of a core per millisecond. */
    double releasedPerMilli(ShareId share) {
        Sums sums = byShare.get(share);
        return sums == null ? 0 : (double) sums.rate / RATE_UNITS;
    }

    /** Returns the use of each priority that has any, in ascending order. */
    public ImmutableList<ShareUse> uses() {
        Map<Integer, Long> byPriority = new TreeMap<>();
        byShare.forEach((share, sums) -> byPriority.merge(share.priority(), sums.milliCores, Long::sum));
        ImmutableList.Builder<ShareUse> uses = ImmutableList.builder();
        byPriority.forEach((priority, milliCores) -> {
            if (milliCores > 0) {
                uses.add(new ShareUse(priority, milliCores));
            }
        });
        return uses.build();
    }

    private void add(ShareId share, long milliCores, long rate) {
        Sums sums = byShare.computeIfAbsent(share, unused -> new Sums());
        sums.milliCores += milliCores;
        sums.rate += rate;
    }

    private static long rate(long milliCores, long expectedRunMillis) {
        return milliCores * RATE_UNITS / Math.max(1, expectedRunMillis);
    }

    /** The sums over the runs of one share. */
    private static final class Sums {
        private long milliCores;
        private long rate;
    }
}
