package org.tarragonarch.core.share;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareUse;

/**
 * The processor time that runs under way take on the endpoints of one failure domain, by share.
 *
 * <p>Kept up to date as room is reserved and released, since it is asked for with every start.
 */
public final class ShareTally {
    /** Rates are kept as whole numbers, so that what a run adds and what it takes away again are the same. */
    static final long RATE_UNITS = 1_000;

    private final Map<ShareId, Sums> byShare = new HashMap<>();

    /** Creates a tally of nothing. */
    public ShareTally() {}

    /**
     * Counts a run.
     *
     * @param milliCores what it takes, in thousandths of a core
     * @param expectedRunMillis how long it should run
     */
    public void reserved(ShareId share, long milliCores, long expectedRunMillis) {
        add(share, milliCores, rate(milliCores, expectedRunMillis));
    }

    /** Counts a run no longer; the values are those with which it was counted. */
    public void released(ShareId share, long milliCores, long expectedRunMillis) {
        add(share, -milliCores, -rate(milliCores, expectedRunMillis));
    }

    /** Returns the processor time that a share has in use, in thousandths of a core. */
    public long usedMilliCores(ShareId share) {
        Sums sums = byShare.get(share);
        return sums == null ? 0 : sums.milliCores;
    }

    /** Returns how fast the runs of a share should end, in thousandths of a core a millisecond. */
    double releasedPerMilli(ShareId share) {
        Sums sums = byShare.get(share);
        return sums == null ? 0 : (double) sums.rate / RATE_UNITS;
    }

    /** Returns what each priority has in use, those that have nothing left out. */
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

    /** What is kept of one share. */
    private static final class Sums {
        private long milliCores;
        private long rate;
    }
}
