package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * What happens in one soak, and when; the same seed gives the same plan.
 *
 * @param steps the beginnings and ends of faults, the earliest first
 */
record SoakPlan(ImmutableList<Step> steps) {
    private static final int SHORTEST_MILLIS = 200;
    private static final int MORE_MILLIS = 2_500;

    /** No fault begins before this, so that every seed starts from a system that serves. */
    private static final int QUIET_MILLIS = 500;

    /** A node that was told to stop may take six seconds to end; it is started again after that. */
    private static final int STOP_MILLIS = 6_500;

    /**
     * Draws a plan. A third of the faults overlap another of the same kind.
     *
     * @param faults how many faults
     * @param millis by when the last one has begun
     * @param targets how many nodes, and how many endpoints, there are to choose from
     */
    static SoakPlan draw(long seed, int faults, int millis, int targets) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        Fault fault = Fault.values()[0];
        for (int i = 0; i < faults; i++) {
            fault = random.nextInt(3) == 0 ? fault : Fault.values()[random.nextInt(Fault.values().length)];
            int target = random.nextInt(targets);
            int from = QUIET_MILLIS + random.nextInt(millis);
            int lasts = fault == Fault.NODE_STOPPED ? STOP_MILLIS : SHORTEST_MILLIS + random.nextInt(MORE_MILLIS);
            steps.add(new Step(from, fault, target, true));
            steps.add(new Step(from + lasts, fault, target, false));
        }
        return new SoakPlan(ImmutableList.sortedCopyOf(Comparator.comparingInt(Step::atMillis), steps));
    }

    /**
     * One beginning or end.
     *
     * @param atMillis when, from the start of the soak
     * @param fault the fault
     * @param target the number of the node or endpoint
     * @param begins whether it begins
     */
    record Step(int atMillis, Fault fault, int target, boolean begins) {
        void execute(SoakCluster cluster) throws IOException, InterruptedException {
            if (begins) {
                fault.begin(cluster, target);
            } else {
                fault.end(cluster, target);
            }
        }
    }
}
