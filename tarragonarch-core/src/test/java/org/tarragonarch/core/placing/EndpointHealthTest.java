package org.tarragonarch.core.placing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests when an endpoint is ejected as unhealthy. */
public final class EndpointHealthTest {
    private static final long FIRST_EJECTION_MILLIS = 1_000;

    /** Guards against an endpoint that is never ejected because successes alternate with stalls. */
    @Test
    public void testEject_halfOfTheRunsStall() {
        EndpointHealth health = new EndpointHealth();
        int runs = 0;
        while (!health.isEjected(0)) {
            health.recordSuccess();
            health.recordStall(0);
            runs += 2;
        }
        assertTrue(runs <= 6, runs + " runs");
    }

    @Test
    public void testEject_threeFailuresInARow() {
        EndpointHealth health = new EndpointHealth();
        health.recordFailure(0);
        health.recordFailure(0);
        assertFalse(health.isEjected(0));
        health.recordFailure(0);
        assertTrue(health.isEjected(0));
        assertFalse(health.isEjected(FIRST_EJECTION_MILLIS));
        assertTrue(health.isOnTrial());
    }

    /** Guards against healthy endpoints that are ejected because one run in twenty belongs to a hopeless job. */
    @Test
    public void testEject_occasionalFailures() {
        int ejections = 0;
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EndpointHealth health = new EndpointHealth();
            for (int run = 0; run < 100 && !health.isEjected(run); run++) {
                if (random.nextInt(20) == 0) {
                    health.recordFailure(run);
                } else {
                    health.recordSuccess();
                }
                ejections += health.isEjected(run) ? 1 : 0;
            }
        }
        assertTrue(ejections <= 20, ejections + " ejections in 20,000 runs");
    }

    /** A failed trial doubles the ejection time; a successful one ends the trial, but leaves the ratio above zero. */
    @Test
    public void testOnTrial() {
        EndpointHealth health = new EndpointHealth();
        health.recordStall(0);
        health.recordStall(0);
        health.recordFailure(FIRST_EJECTION_MILLIS);
        assertTrue(health.isEjected(2 * FIRST_EJECTION_MILLIS));
        assertFalse(health.isEjected(3 * FIRST_EJECTION_MILLIS));
        health.recordSuccess();
        assertFalse(health.isOnTrial());
        health.recordStall(4 * FIRST_EJECTION_MILLIS);
        health.recordFailure(4 * FIRST_EJECTION_MILLIS);
        assertTrue(health.isEjected(4 * FIRST_EJECTION_MILLIS));
    }
}
