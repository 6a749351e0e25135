package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.DoublePredicate;

/**
 * A bound on what any scheduler could earn, one that knows every job and its true run times beforehand.
 *
 * <p>Every moment of every class of endpoints has a price. If each job pays for the cheapest places and moments that
 * let it end in time, or late, and is left out where that costs more than it earns, then what the jobs keep and what
 * all endpoints cost together is no less than what any plan earns that never overfills an endpoint: such a plan's jobs
 * pay at least as much, and it uses each endpoint once. That holds for any prices; the lowest such sum that is found
 * is the bound. So it sees bursts, where prices rise, and packing, since a task counts for its {@link PackingWeight}.
 *
 * <p>Left out, so that the bound is too high where they matter: the network, endpoints that are unwell, and places that
 * can only be had in whole where tasks of different size meet.
 */
final class PriceBound {
    /** How finely prices follow time, in milliseconds: the most urgent kind has some 100 to spare. */
    private static final double CELL_MILLIS = 20;

    /** How often prices are moved; any number gives a bound, more give a lower one. */
    private static final int ROUNDS = 250;

    /** Rounds without a better bound after which steps become half as long. */
    private static final int PATIENCE_ROUNDS = 8;

    private final DoublePredicate starts;
    private final ImmutableMultiset<EndpointClass> endpoints;
    private final ImmutableList<EndpointClass> classes;
    private final List<EndpointPrices> prices = new ArrayList<>();
    private final List<PackingWeight> weights = new ArrayList<>();

    private PriceBound(LoadShape shape, ImmutableMultiset<EndpointClass> endpoints, List<Experience> experiences) {
        this.starts = millis -> shape.disturbances().stream().noneMatch(each -> withoutPower(each, millis));
        this.endpoints = endpoints;
        this.classes = ImmutableList.copyOf(endpoints.elementSet());
        List<DrawnJob> jobs = experiences.stream().map(Experience::job).toList();
        double end = jobs.stream()
                .mapToDouble(job -> job.sentAtMillis() + Fate.LATE_MULTIPLE * job.aimMillis())
                .max()
                .orElse(0);
        for (EndpointClass each : classes) {
            prices.add(new EndpointPrices((int) (end / CELL_MILLIS) + 1, CELL_MILLIS));
            weights.add(PackingWeight.heaviest(each.milliCores(), jobs));
        }
    }

    /** Returns the part of all worth that can be earned at most. */
    static double of(LoadShape shape, ImmutableMultiset<EndpointClass> endpoints, List<Experience> experiences) {
        double owed = experiences.stream().mapToDouble(Experience::worth).sum();
        double earned = experiences.stream().mapToDouble(Experience::earned).sum();
        if (owed == 0) {
            return 1;
        }
        return new PriceBound(shape, endpoints, experiences).lowest(experiences, earned) / owed;
    }

    /**
     * Returns the lowest sum that is found, by moving each price up where more is used than there is and down where
     * less.
     *
     * @param earned what some plan earned, below which no sum can be
     */
    private double lowest(List<Experience> experiences, double earned) {
        double lowest = Double.MAX_VALUE;
        double stride = 0.02;
        double owedX = experiences.stream().mapToDouble(Experience::worth).sum();
        int sinceLower = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<double[]> free = allFree();
            double sum = cost()
                    + experiences.stream().mapToDouble(each -> kept(each, free)).sum();
            sinceLower = sum < lowest ? 0 : sinceLower + 1;
            lowest = Math.min(lowest, sum);
            if (sinceLower >= PATIENCE_ROUNDS) {
                stride /= 2;
                sinceLower = 0;
            }
            double length = squareLength(free);
            if (length == 0) {
                return lowest;
            }
            double step = (sum - lowest + stride * owedX) / length;
            for (int i = 0; i < classes.size(); i++) {
                prices.get(i).move(step / CELL_MILLIS, free.get(i));
            }
        }
        return lowest;
    }

    private List<double[]> allFree() {
        List<double[]> free = new ArrayList<>();
        for (int i = 0; i < classes.size(); i++) {
            free.add(prices.get(i).cells(endpoints.count(classes.get(i))));
        }
        return free;
    }

    private double cost() {
        double cost = 0;
        for (int i = 0; i < classes.size(); i++) {
            cost += endpoints.count(classes.get(i)) * prices.get(i).total();
        }
        return cost;
    }

    private static double squareLength(List<double[]> free) {
        double sum = 0;
        for (double[] cells : free) {
            for (double each : cells) {
                sum += each * each;
            }
        }
        return sum;
    }

    /** Returns what a job keeps of its worth after paying for its places, and notes these as used. */
    private double kept(Experience experience, List<double[]> free) {
        DrawnJob job = experience.job();
        Optional<Plan> best = plan(experience, job.aimMillis(), Fate.IN_TIME);
        double late = experience.worth() * Fate.LATE.credit();
        if (best.isEmpty() || best.get().kept() < late) {
            Optional<Plan> lateBest = plan(experience, Fate.LATE_MULTIPLE * job.aimMillis(), Fate.LATE);
            if (best.isEmpty()
                    || lateBest.isPresent()
                            && lateBest.get().kept() > best.get().kept()) {
                best = lateBest;
            }
        }
        if (best.isEmpty() || best.get().kept() <= 0) {
            return 0;
        }
        best.get().runs().forEach(run -> use(job, run, free));
        return best.get().kept();
    }

    private void use(DrawnJob job, Run run, List<double[]> free) {
        int i = run.endpointClass();
        prices.get(i).use(weight(job, i), run.fromMillis(), run.toMillis(), free.get(i));
    }

    /** Returns the cheapest way to end a job within a time, if there is any. */
    private Optional<Plan> plan(Experience experience, double withinMillis, Fate fate) {
        DrawnJob job = experience.job();
        double kept = experience.worth() * fate.credit();
        List<Run> runs = new ArrayList<>();
        for (int task = 0; task < job.width(); task++) {
            Optional<Run> run = cheapest(job, job.runMillis(task), job.sentAtMillis() + withinMillis);
            if (run.isEmpty()) {
                return Optional.empty();
            }
            runs.add(run.get());
            kept -= run.get().cost();
        }
        return Optional.of(new Plan(kept, runs));
    }

    private Optional<Run> cheapest(DrawnJob job, double runMillis, double untilMillis) {
        Optional<Run> best = Optional.empty();
        for (int i = 0; i < classes.size(); i++) {
            double length = runMillis / classes.get(i).speed();
            OptionalDouble start =
                    prices.get(i).cheapestStart(job.sentAtMillis(), untilMillis - length, length, starts);
            if (start.isPresent()) {
                double from = start.getAsDouble();
                double cost = weight(job, i) * prices.get(i).between(from, from + length);
                if (best.isEmpty() || cost < best.get().cost()) {
                    best = Optional.of(new Run(i, from, from + length, cost));
                }
            }
        }
        return best;
    }

    /**
     * Returns whether nothing can be started since no node has power.
     *
     * <p>Only whole cells count: what is cheapest then still shows at the edge of one.
     */
    private static boolean withoutPower(Disturbance disturbance, double millis) {
        double from = Math.ceil(disturbance.atMillis() / CELL_MILLIS) * CELL_MILLIS;
        double to = Math.floor((disturbance.atMillis() + disturbance.forMillis()) / CELL_MILLIS) * CELL_MILLIS;
        return disturbance.kind() == DisturbanceKind.POWER_OFF && millis > from && millis < to;
    }

    private double weight(DrawnJob job, int endpointClass) {
        long milliCores = job.request().step().perTask().milliCores();
        return weights.get(endpointClass)
                .of(milliCores, classes.get(endpointClass).milliCores());
    }

    /**
     * One run of a task.
     *
     * @param endpointClass the number of its endpoint's class
     * @param cost what its place costs over that time
     */
    private record Run(int endpointClass, double fromMillis, double toMillis, double cost) {}

    /**
     * All runs of a job.
     *
     * @param kept what they leave of its worth
     */
    private record Plan(double kept, List<Run> runs) {}
}
