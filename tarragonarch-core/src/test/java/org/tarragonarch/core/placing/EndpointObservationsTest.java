package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.tarragonarch.core.share.ShareTally;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** Tests which observations are discarded when an endpoint has restarted. */
public final class EndpointObservationsTest {
    private static final long NOW_MILLIS = 1_000;

    /** Guards against an incarnation that is ejected or considered slow because of the runs of an earlier one. */
    @Test
    public void testReset_clearsHealthAndSpeed() {
        ReservedCapacity reserved =
                new ReservedCapacity(new Resources(16_000, 32_768, 0), new ShareTally(), new UnlimitedAuthority());
        EndpointObservations observations = new EndpointObservations(reserved, new ProgressReports());
        observations.health().eject(NOW_MILLIS, 10_000);
        observations.speed().record(100, 500);
        assertTrue(observations.health().isEjected(NOW_MILLIS + 1));
        observations.reset();
        assertFalse(observations.health().isEjected(NOW_MILLIS + 1));
        assertEquals(observations.speed().value(), 1.0);
    }
}
