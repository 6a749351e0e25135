package org.tarragonarch.standin.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The schedule of the faults of one soak.
 *
 * @param steps the beginnings and ends of faults in order of time
 */
record SoakPlan(ImmutableList<Step> steps) {
    private static final int MIN_FAULT_MILLIS = 200;
    private static final int FAULT_RANGE_MILLIS = 2_500;

    /** The time before the first fault, so that every soak starts with a cluster that serves its clients. */
    private static final int QUIET_MILLIS = 500;

    /** A stopping node may take six seconds to end; it is restarted after that. */
    private static final int STOP_MILLIS = 6_500;

    /**
     * Draws a plan; the same seed gives the same plan. A third of the faults are of the same kind as the one drawn
     * before, so that faults of one kind overlap.
     *
     * @param seed the seed
     * @param faults the number of faults
     * @param millis the period in which faults begin, in milliseconds
     * @param targets the number of nodes and endpoints to choose from
     */
    static SoakPlan draw(long seed, int faults, int millis, int targets) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        Fault fault = Fault.values()[0];
        for (int i = 0; i < faults; i++) {
            fault = random.nextInt(3) == 0 ? fault : Fault.values()[random.nextInt(Fault.values().length)];
            int target = random.nextInt(targets);
            int from = QUIET_MILLIS + random.nextInt(millis);
            int duration =
                    fault == Fault.NODE_STOPPED ? STOP_MILLIS : MIN_FAULT_MILLIS + random.nextInt(FAULT_RANGE_MILLIS);
            steps.add(new Step(from, fault, target, true));
            steps.add(new Step(from + duration, fault, target, false));
        }
        return new SoakPlan(ImmutableList.sortedCopyOf(Comparator.comparingInt(Step::atMillis), steps));
    }

    /**
     * The beginning or the end of a fault.
     *
     * @param atMillis the time since the start of the plan
     * @param fault the fault
     * @param target the number of the node or endpoint
     * @param begins whether the fault begins
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
