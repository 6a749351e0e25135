package org.tarragonarch.core.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RunTimeEstimatorTest {
    private static final ServiceName SERVICE = ServiceName.of("proof-board");
    private static final KindName KIND = KindName.of("spelling");

    @Test
    public void testExpectedNanos_nothingObserved() {
        RunTimeEstimator estimator = RunTimeEstimator.create();
        assertEquals(estimator.expectedNanos(SERVICE, KIND, Duration.ofMillis(200)), 200_000_000);
    }

    @DataProvider
    public Object[][] wrongPriors() {
        return new Object[][] {{Duration.ofMillis(20)}, {Duration.ofSeconds(2)}};
    }

    /**
     * Guards against queue order and admission that follow a wrong declaration for more than a few tasks; a client
     * declares a tenth of the real run time, or ten times as much.
     */
    @Test(dataProvider = "wrongPriors")
    public void testExpectedNanos_declarationWrongByFactorTen(Duration declared) {
        RunTimeEstimator estimator = RunTimeEstimator.create();
        for (int i = 0; i < 4; i++) {
            estimator.observe(SERVICE, KIND, Duration.ofMillis(200).toNanos());
        }
        double ratio = estimator.expectedNanos(SERVICE, KIND, declared) / 2e8;
        assertTrue(ratio > 0.5 && ratio < 2, "ratio " + ratio);
    }

    @Test
    public void testExpectedNanos_stragglersThenFasterTasks() {
        RunTimeEstimator estimator = RunTimeEstimator.create();
        Random random = new Random(3);
        for (int i = 0; i < 1000; i++) {
            boolean straggler = random.nextInt(20) == 0;
            estimator.observe(
                    SERVICE, KIND, Duration.ofMillis(straggler ? 2000 : 200).toNanos());
        }
        double millis = estimator.expectedNanos(SERVICE, KIND, Duration.ZERO) / 1e6;
        assertEquals(millis, 290, 200, "the mean including stragglers, within the spread of the last fifty tasks");
        for (int i = 0; i < 200; i++) {
            estimator.observe(SERVICE, KIND, Duration.ofMillis(50).toNanos());
        }
        assertEquals(estimator.expectedNanos(SERVICE, KIND, Duration.ZERO) / 1e6, 50, 15);
    }
}
