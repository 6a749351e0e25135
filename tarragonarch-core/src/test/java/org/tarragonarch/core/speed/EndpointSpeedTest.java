package org.tarragonarch.core.speed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Random;
import org.testng.annotations.Test;

/** Estimates of an endpoint's speed from run times that scatter by 40%. */
public final class EndpointSpeedTest {
    private static final double EXPECTED_MILLIS = 100;
    private static final double SCATTER = 0.4;

    private final Random random = new Random(20261203);

    private void recordRuns(EndpointSpeed speed, int count, double trueSpeed) {
        for (int run = 0; run < count; run++) {
            speed.record(EXPECTED_MILLIS, EXPECTED_MILLIS / trueSpeed * Math.exp(SCATTER * random.nextGaussian()));
        }
    }

    @Test
    public void testValue_nothingLearned() {
        assertEquals(new EndpointSpeed().value(), 1.0);
        assertEquals(new EndpointSpeed().classSpeed(), 1.0);
    }

    /** Guards against estimates that do not converge to the true speed of slow, average and fast endpoints. */
    @Test
    public void testRecord_threeSpeeds() {
        for (double trueSpeed : new double[] {0.6, 1.0, 1.6}) {
            EndpointSpeed speed = new EndpointSpeed();
            recordRuns(speed, 100, trueSpeed);
            assertEquals(speed.value() / trueSpeed, 1.0, 0.25, "speed " + trueSpeed);
        }
    }

    /** Guards against an endpoint that gets tasks for seconds after it has become five times slower. */
    @Test
    public void testRecord_suddenSlowdown() {
        EndpointSpeed speed = new EndpointSpeed();
        recordRuns(speed, 100, 1);
        recordRuns(speed, 6, 0.2);
        assertTrue(speed.value() < 0.6, "after six slow runs " + speed.value());
        recordRuns(speed, 30, 1);
        assertTrue(speed.value() > 0.7, "after thirty ordinary runs " + speed.value());
    }

    /** Guards against an endpoint that counts as slow because 3% of its tasks run seven times as long. */
    @Test
    public void testRecord_stragglers() {
        EndpointSpeed speed = new EndpointSpeed();
        double lowest = 1;
        for (int run = 0; run < 2_000; run++) {
            recordRuns(speed, 1, random.nextDouble() < 0.03 ? 1 / 7.0 : 1);
            lowest = Math.min(lowest, speed.value());
        }
        assertTrue(lowest > 0.5, "lowest " + lowest);
        assertEquals(speed.value(), 1.0, 0.3);
    }

    /** Guards against speeds outside their bounds, since waits are computed from them. */
    @Test
    public void testRecord_bounds() {
        EndpointSpeed speed = new EndpointSpeed();
        recordRuns(speed, 200, 0.001);
        assertEquals(speed.value(), 0.2, 0.001);
        recordRuns(speed, 200, 1_000);
        assertEquals(speed.value(), 3, 0.001);
    }

    /** Guards against decisions that change with noise: endpoints with speeds of 0.87 to 1.15 are in one class. */
    @Test
    public void testClassSpeed_withinClass() {
        for (double trueSpeed : new double[] {0.87, 1.0, 1.15}) {
            EndpointSpeed speed = new EndpointSpeed();
            for (int run = 0; run < 200; run++) {
                speed.record(EXPECTED_MILLIS, EXPECTED_MILLIS / trueSpeed);
            }
            assertEquals(speed.classSpeed(), 1.0);
            assertFalse(speed.isReportDue());
        }
    }

    /** Guards against speeds that all rise together while the expected run times fall. */
    @Test
    public void testNormalize_meanIsOne() {
        ImmutableList<EndpointSpeed> pool = ImmutableList.of(new EndpointSpeed(), new EndpointSpeed());
        recordRuns(pool.get(0), 200, 1.25);
        recordRuns(pool.get(1), 200, 1.8);
        double ratio = pool.get(1).value() / pool.get(0).value();
        for (int call = 0; call < 50; call++) {
            PoolSpeeds.normalize(pool);
        }
        assertEquals(pool.get(0).value() * pool.get(1).value(), 1.0, 0.02);
        assertEquals(pool.get(1).value() / pool.get(0).value(), ratio, 0.01);
    }

    @Test
    public void testSummary() {
        EndpointSpeed fast = new EndpointSpeed();
        recordRuns(fast, 500, 2);
        SpeedSummary summary = SpeedSummary.of(ImmutableList.of(new EndpointSpeed(), fast));
        assertEquals(summary.slowest(), 1.0);
        assertEquals(summary.fastest(), fast.value());
        assertEquals(summary.mean(), (1 + fast.value()) / 2);
        assertEquals(SpeedSummary.of(ImmutableList.of()), SpeedSummary.NONE);
    }
}
