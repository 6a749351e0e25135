package org.tarragonarch.benchmark.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
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
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> Experiment.run(load, seed))
                .collect(ImmutableList.toImmutableList());
    }

    private static double mean(ImmutableList<ExperimentResult> results, ToDoubleFunction<ExperimentResult> figure) {
        return results.stream().mapToDouble(figure).average().orElseThrow();
    }

    private static void assertAtLeast(double found, double least, String what) {
        assertTrue(found >= least, what + " " + found + " is below " + least);
    }

    /** Load: evenly loaded domains with room. Guards against jobs that leave their domain, or are late, for nothing. */
    @Test
    public void testDomainsEven_offersAndResultsAsWithoutBalance() throws StepException {
        ImmutableList<ExperimentResult> results = play("domains-even");
        assertEquals(mean(results, ExperimentResult::moved), 0.0);
        assertEquals(mean(results, ExperimentResult::earned), 1.0);
    }

    /** Load: one domain of three gets 1.6 times its traffic. Guards against jobs that wait while others have room. */
    @Test
    public void testDomainBurst_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = play("domain-burst");
        assertAtLeast(mean(results, each -> each.byDomain().get("d0")), 0.988, "the domain with the burst");
        assertAtLeast(mean(results, ExperimentResult::earned), 0.990, "all");
        assertEquals(mean(results, ExperimentResult::overfilled), 0.0);
    }

    /** Load: domains whose demand swings out of phase. Guards against work that is late in one while another idles. */
    @Test
    public void testDomainsSwing_neighboursHelp() throws StepException {
        assertAtLeast(mean(play("domains-swing"), ExperimentResult::earned), 0.9975, "all");
    }

    /** Load: clients move to another domain. Guards against a domain that keeps work which others could start. */
    @Test
    public void testClientsMove_neighboursHelp() throws StepException {
        ImmutableList<ExperimentResult> results = play("clients-move");
        assertAtLeast(mean(results, each -> each.byDomain().get("d1")), 0.998, "the domain that clients come to");
    }

    /**
     * Load: two domains of three are flooded. Guards against clients of the third that are pushed out, and against jobs
     * that bounce: none is offered to more than two others, and most not at all.
     */
    @Test
    public void testDomainsFlooded_thirdDomainServesItsOwn() throws StepException {
        ImmutableList<ExperimentResult> results = play("domains-flooded");
        assertAtLeast(mean(results, each -> each.byDomain().get("d2")), 0.96, "the domain without a flood");
        double movesPerJob = mean(results, each -> (double) each.moved() / each.jobs());
        assertTrue(movesPerJob < 0.5, "each job is offered to " + movesPerJob + " others");
        assertEquals(mean(results, ExperimentResult::overfilled), 0.0);
    }
}
