package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.Test;

/** What an all-knowing scheduler can earn at most, where that can be worked out by hand, and on whole loads. */
public final class PriceBoundTest {
    private static final Spread UNUSED = new Spread(1, 0, 1);
    private static final JobKind KIND = new JobKind("k", 1, 0, UNUSED, UNUSED, UNUSED, 0, 0, 60, 1_500, 1);
    private static final ImmutableMultiset<EndpointClass> ONE_ENDPOINT =
            ImmutableMultiset.of(new EndpointClass(32_000, 1));

    private static LoadShape quiet() throws StepException {
        LoadShape shape = LoadShapes.named("pool");
        return new LoadShape(
                1,
                1,
                1,
                32_000,
                ImmutableList.of(1.0),
                200,
                500,
                700,
                1,
                ImmutableList.of(1.0),
                1.6,
                1_000,
                shape.kinds(),
                ImmutableList.of());
    }

    /** Returns jobs of one task each, all sent at once, whose aim is 1.6 times 100 ms and 60 more. */
    private static ImmutableList<Experience> sentAtOnce(int count, long milliCores) {
        List<Experience> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DrawnJob job = new DrawnJob(i, KIND, 0, 0, 0, 1.6, milliCores, new double[] {100}, 100);
            jobs.add(new Experience(job, Fate.LOST, 1));
        }
        return ImmutableList.copyOf(jobs);
    }

    private static double bound(int count, long milliCores) throws StepException {
        return PriceBound.of(quiet(), ONE_ENDPOINT, sentAtOnce(count, milliCores));
    }

    /** Two fit side by side, twice one after the other within 220 ms; and by 660 ms four pairs more, late. */
    @Test
    public void testOf_allFitInTime() throws StepException {
        assertEquals(bound(4, 14_000), 1.0, 1e-9);
    }

    /**
     * By room alone two tasks and a quarter of 14 cores fit on 32, so a bound by room lets 4.9 jobs of forty earn all.
     * Whole tasks are two at a time: 4.4 in time, since a scheduler that may use a place by parts has 220 ms, and the
     * rest of the 660 ms late.
     */
    @Test
    public void testOf_wholeTasksDoNotFillAnEndpoint() throws StepException {
        double inTime = 4.4;
        double late = 8.8;
        assertEquals(bound(40, 14_000), (inTime + late * Fate.LATE.credit()) / 40, 0.01);
    }
}
