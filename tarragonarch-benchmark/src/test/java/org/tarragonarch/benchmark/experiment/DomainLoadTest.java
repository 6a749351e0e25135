package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.Test;

/**
 * Checks in which domain jobs start, in a region of three failure domains with a holder each and different loads.
 *
 * <p>The bounds lie between the results with and without load balancing between domains, which
 * docs/design/domain-balance.md lists.
 */
public final class DomainLoadTest {
    private static final int SEEDS = 3;

    private static ImmutableList<ExperimentResult> runSeeds(String shape) throws StepException {
        LoadShape load = LoadShapes.named(shape);
        return SeedRuns.run(load, SEEDS);
    }

    /** Load: equal, below capacity. Guards against needless offers to other domains, and against late jobs. */
    @Test
    public void testDomainsEven_offersAndResultsAsWithoutBalance() throws StepException {
        ImmutableList<ExperimentResult> results = runSeeds("domains-even");
        assertEquals(SeedRuns.mean(results, ExperimentResult::moved), 0.0);
        assertEquals(SeedRuns.mean(results, ExperimentResult::earnedShare), 1.0);
    }

    /** Load: one domain of three gets 1.6 times its traffic. Guards against jobs that wait while others are free. */
    @Test
    public void testDomainBurst_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = runSeeds("domain-burst");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d0")), 0.988, "the domain with the burst");
        SeedRuns.assertAtLeast(SeedRuns.mean(results, ExperimentResult::earnedShare), 0.990, "all");
        assertEquals(SeedRuns.mean(results, ExperimentResult::overcommitCount), 0.0);
    }

    /** Load: domains whose demand swings out of phase. Guards against late jobs in one domain while another is idle. */
    @Test
    public void testDomainsSwing_neighboursHelp() throws StepException {
        SeedRuns.assertAtLeast(SeedRuns.mean(runSeeds("domains-swing"), ExperimentResult::earnedShare), 0.9975, "all");
    }

    /** Load: clients move to another domain. Guards against a domain that keeps jobs that others could start. */
    @Test
    public void testClientsMove_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = runSeeds("clients-move");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d1")),
                0.998,
                "the domain that clients move to");
    }

    /**
     * Load: two domains of three are flooded. Guards against displaced clients of the third domain, and against jobs
     * that are offered back and forth: none is offered to more than two other domains, and most to none.
     */
    @Test
    public void testDomainsFlooded_thirdDomainServesItsOwn() throws StepException {
        ImmutableList<ExperimentResult> results = runSeeds("domains-flooded");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d2")),
                0.96,
                "the domain that is not flooded");
        double movesPerJob = SeedRuns.mean(results, each -> (double) each.moved() / each.jobs());
        assertTrue(movesPerJob < 0.5, "offers to other domains per job: " + movesPerJob);
        assertEquals(SeedRuns.mean(results, ExperimentResult::overcommitCount), 0.0);
    }
}
