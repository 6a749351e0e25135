package org.tarragonarch.model.task;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import org.testng.annotations.Test;

/** Tests that the constants of two enums can be mapped onto each other by name. */
public final class OuterNamesTest {
    private static final ImmutableMap<JobOutcome, JobProgress> PROGRESS = ImmutableMap.of(
            JobOutcome.DONE, JobProgress.DONE,
            JobOutcome.FAILED, JobProgress.FAILED,
            JobOutcome.CANCELLED, JobProgress.CANCELLED);

    /** Guards against a constant renamed in only one of the enums, so that {@code valueOf} throws. */
    @Test
    public void testName_finalOutcomesMatchProgress() {
        PROGRESS.forEach((outcome, progress) -> assertEquals(JobProgress.valueOf(outcome.name()), progress));
    }

    /** Guards against a new final outcome without a progress of the same name. */
    @Test
    public void testIsFinal_onlyMappedOutcomes() {
        assertEquals(
                Arrays.stream(JobOutcome.values()).filter(JobOutcome::isFinal).toList(),
                PROGRESS.keySet().asList());
    }
}
