package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.outcome.StepException;
import org.testng.annotations.Test;

/**
 * Loads that differ between failure domains, in a region of three with a holder each: which domain a job starts in.
 *
 * <p>docs/design/domain-balance.md has the figures; the bounds lie between those with and without the balance.
 */
public final class DomainLoadTest {
    private static final int SEEDS = 3;

    private static ImmutableList<ExperimentResult> play(String shape) throws StepException {
        LoadShape load = LoadShapes.named(shape);
        return SeedRuns.run(load, SEEDS);
    }

    /** Load: evenly loaded domains with room. Guards against jobs that leave their domain, or are late, for nothing. */
    @Test
    public void testDomainsEven_offersAndResultsAsWithoutBalance() throws StepException {
        ImmutableList<ExperimentResult> results = play("domains-even");
        assertEquals(SeedRuns.mean(results, ExperimentResult::moved), 0.0);
        assertEquals(SeedRuns.mean(results, ExperimentResult::earnedShare), 1.0);
    }

    /** Load: one domain of three gets 1.6 times its traffic. Guards against jobs that wait while others have room. */
    @Test
    public void testDomainBurst_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = play("domain-burst");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d0")), 0.988, "the domain with the burst");
        SeedRuns.assertAtLeast(SeedRuns.mean(results, ExperimentResult::earnedShare), 0.990, "all");
        assertEquals(SeedRuns.mean(results, ExperimentResult::overcommitCount), 0.0);
    }

    /** Load: domains whose demand swings out of phase. Guards against work that is late in one while another idles. */
    @Test
    public void testDomainsSwing_neighboursHelp() throws StepException {
        SeedRuns.assertAtLeast(SeedRuns.mean(play("domains-swing"), ExperimentResult::earnedShare), 0.9975, "all");
    }

    /** Load: clients move to another domain. Guards against a domain that keeps work which others could start. */
    @Test
    public void testClientsMove_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = play("clients-move");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d1")),
                0.998,
                "the domain that clients come to");
    }

    /**
     * Load: two domains of three are flooded. Guards against clients of the third that are pushed out, and against jobs
     * that bounce: none is offered to more than two others, and most not at all.
     */
    @Test
    public void testDomainsFlooded_thirdDomainServesItsOwn() throws StepException {
        ImmutableList<ExperimentResult> results = play("domains-flooded");
        SeedRuns.assertAtLeast(
                SeedRuns.mean(results, each -> each.earnedByDomain().get("d2")), 0.96, "the domain without a flood");
        double movesPerJob = SeedRuns.mean(results, each -> (double) each.moved() / each.jobs());
        assertTrue(movesPerJob < 0.5, "each job is offered to " + movesPerJob + " others");
        assertEquals(SeedRuns.mean(results, ExperimentResult::overcommitCount), 0.0);
    }
}
