package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Series of faults in which a rule on runs was broken. */
public final class FaultSeriesRegressionTest {
    /** Returns series in which a holder resumes while its jobs run elsewhere. */
    @DataProvider
    public Object[][] resumedHolders() {
        return new Object[][] {
            {FaultSet.ALL_CLOCK_STOPS, 1_020},
            {FaultSet.ALL_CLOCK_STOPS, 1_026},
            {FaultSet.ALL_CLOCK_STOPS, 6_406},
            {FaultSet.ALL_CLOCK_STOPS, 9_442}
        };
    }

    /** Guards against a task that a resumed holder starts, although the origin has lost it and offered the job anew. */
    @Test(dataProvider = "resumedHolders")
    public void testJobs_holderResumes(FaultSet faults, long seed) {
        assertEquals(new FaultSeries(faults, seed).violations().toString(), "[]");
    }

    /** Returns series in which an endpoint restarts under its id, and forgets the token of a suspended holder. */
    @DataProvider
    public Object[][] forgottenTokens() {
        return new Object[][] {
            {FaultSet.ALL_CLOCK_STOPS, 3_848},
            {FaultSet.ALL_CLOCK_STOPS, 9_902},
            {FaultSet.ALL_CLOCK_GOES_ON, 3_848},
            {FaultSet.ALL_CLOCK_GOES_ON, 9_902},
            {FaultSet.NO_ENDPOINT_WIDE_CLOCK_STOPS, 630},
            {FaultSet.RESTARTS_CLOCK_STOPS, 13},
            {FaultSet.RESTARTS_CLOCK_STOPS, 599}
        };
    }

    /** Guards against a task that a resumed holder starts by an old list, beside those of an earlier holder. */
    @Test(dataProvider = "forgottenTokens")
    public void testJobs_holderResumesAfterItsEndpointHasForgottenItsToken(FaultSet faults, long seed) {
        assertEquals(new FaultSeries(faults, seed).violations().toString(), "[]");
    }

    /** Guards against a job that a resumed origin offers before it has read that its client has left. */
    @Test
    public void testJobs_originResumes() {
        assertEquals(
                new FaultSeries(FaultSet.CLIENTS_CLOCK_GOES_ON, 3_135)
                        .violations()
                        .toString(),
                "[]");
    }

    /** Guards against a run that starts on an endpoint with a longer lease than the loss of its holder allows. */
    @Test
    public void testJobs_runHasTheLeaseOfOtherRuns() {
        assertEquals(
                new FaultSeries(FaultSet.CLIENTS_CLOCK_GOES_ON, 6_058)
                        .violations()
                        .toString(),
                "[]");
    }

    /** Guards against a withdrawn run whose lease a new holder extends before it is suspended and can stop the run. */
    @Test
    public void testJobs_newHolderIsSuspendedBeforeItStopsRuns() {
        assertEquals(
                new FaultSeries(FaultSet.RESTARTS_THREE_DOMAINS, 411)
                        .violations()
                        .toString(),
                "[]");
    }

    /** Returns series in which the only endpoint of a suspended holder, whose clock stops, restarts. */
    @DataProvider
    public Object[][] restartedEndpoints() {
        return new Object[][] {
            {FaultSet.ALL_CLOCK_STOPS, 630},
            {FaultSet.ALL_CLOCK_STOPS, 3_601},
            {FaultSet.ALL_CLOCK_STOPS, 3_608},
            {FaultSet.ALL_CLOCK_STOPS, 7_477},
            {FaultSet.ALL_CLOCK_STOPS, 9_721}
        };
    }

    /** Guards against a task that a resumed holder starts at a new incarnation, whose clock cannot show the stop. */
    @Test(dataProvider = "restartedEndpoints")
    public void testJobs_holderResumesAfterItsEndpointHasRestarted(FaultSet faults, long seed) {
        assertEquals(new FaultSeries(faults, seed).violations().toString(), "[]");
    }
}
