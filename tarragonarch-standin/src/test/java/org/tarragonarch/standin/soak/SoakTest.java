package org.tarragonarch.standin.soak;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short soaks with fixed seeds; docs/DEVELOPERS.md describes how to run others. */
public final class SoakTest {
    /** Returns seeds that together cover every kind of fault, and each seed that ever failed, with its cause. */
    @DataProvider
    public static Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {4L}};
    }

    /** Guards against wrong answers, and clients that are no longer served, after overlapping faults. */
    @Test(dataProvider = "seeds")
    public void testGuarantees_overlappingFaults(long seed) throws Exception {
        SoakResult result = new SoakRun(SoakOptions.SHORT, seed).run();
        assertEquals(result.violations(), ImmutableList.of(), result.summary());
    }

    @Test
    public void testPlan_sameSeedSamePlan() {
        assertEquals(SoakPlan.draw(7, 20, 4_000, 3), SoakPlan.draw(7, 20, 4_000, 3));
    }
}
