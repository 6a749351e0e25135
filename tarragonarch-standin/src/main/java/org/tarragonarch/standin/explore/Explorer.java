package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;

/** Runs random plans against a small world and reports the first broken promise with the shortest plan found. */
public final class Explorer {
    private static final ImmutableList<String> NODES = ImmutableList.of("hobart-1", "hobart-2", "launceston-1");
    private static final ImmutableList<String> ENDPOINTS =
            ImmutableList.of("hobart-w1", "hobart-w2", "launceston-w1", "launceston-w2");
    private static final int SLOTS = 3;
    private static final long SETTLED_NANOS =
            RandomPlan.DURATION_NANOS + Duration.ofSeconds(45).toNanos();
    private static final long HEALED_NANOS =
            RandomPlan.DURATION_NANOS + Duration.ofSeconds(10).toNanos();

    private long steps;
    private long submissions;
    private long starts;

    /** Returns how many steps all runs took together. */
    public long steps() {
        return steps;
    }

    /** Returns how many submissions all runs sent together. */
    public long submissions() {
        return submissions;
    }

    /** Returns how many task starts the ledgers of all runs hold together. */
    public long starts() {
        return starts;
    }

    /** Runs one seed; returns what was broken and the shortest plan found that still breaks it. */
    public Optional<Finding> run(long seed) {
        ImmutableList<PlanStep> plan = RandomPlan.draw(seed, NODES, ENDPOINTS);
        Optional<String> broken = tryPlan(seed, plan);
        return broken.map(what -> new Finding(seed, what, shorten(seed, plan, what)));
    }

    private ImmutableList<String> shorten(long seed, ImmutableList<PlanStep> plan, String what) {
        String promise = promiseOf(what);
        List<PlanStep> shortest = new ArrayList<>(plan);
        for (int size = Math.max(1, shortest.size() / 2); size >= 1; size /= 2) {
            for (int start = 0; start < shortest.size(); ) {
                List<PlanStep> fewer = new ArrayList<>(shortest);
                fewer.subList(start, Math.min(start + size, fewer.size())).clear();
                Optional<String> still = tryPlan(seed, ImmutableList.copyOf(fewer));
                if (still.filter(message -> promiseOf(message).equals(promise)).isPresent()) {
                    shortest = fewer;
                } else {
                    start += size;
                }
            }
        }
        return shortest.stream().map(PlanStep::toString).collect(ImmutableList.toImmutableList());
    }

    private static String promiseOf(String message) {
        return message.substring(0, Math.max(message.indexOf(':'), 0));
    }

    private Optional<String> tryPlan(long seed, ImmutableList<PlanStep> plan) {
        World world = World.create(seed, NodePolicy.DEFAULT);
        try {
            run(world, plan);
            return Optional.empty();
        } catch (Violation violation) {
            return Optional.of(violation.getMessage());
        } catch (RuntimeException bug) {
            // Whatever a decision throws would end a node's control thread.
            return Optional.of("no decision fails: " + bug + " in " + bug.getStackTrace()[0]);
        } finally {
            steps += world.time().steps();
            starts += world.ledger().startCount();
            submissions += world.sent().size();
        }
    }

    private static void run(World world, ImmutableList<PlanStep> plan) {
        world.acceptConfiguration();
        ENDPOINTS.forEach(name -> world.startEndpoint(name, domainOf(name), SLOTS));
        NODES.forEach(name -> world.startNode(name, domainOf(name)));
        plan.forEach(step ->
                world.time().scheduleAt(step.nanos(), () -> step.effect().accept(world)));
        world.time().scheduleAt(HEALED_NANOS, () -> heal(world));
        world.runUntil(SETTLED_NANOS);
        checkSettled(world);
    }

    private static String domainOf(String name) {
        return name.substring(0, name.indexOf('-'));
    }

    private static void heal(World world) {
        world.network().healAll();
        world.platform().setOut(false);
        world.platform().setReplyLostShare(0);
        world.platform().setStaleReadShare(0);
        world.platform().setListLag(0);
        NODES.forEach(world::restartNode);
    }

    private static void checkSettled(World world) {
        for (SentSubmission sent : world.sent()) {
            if (!sent.isAnswered() && world.ownerOf(sent.submission().id()).isPresent()) {
                throw world.violation(
                        "every submission has one answer", sent.submission().id() + " has none");
            }
        }
        for (FakeNode node : world.nodes()) {
            boolean newest = node.catalog()
                    .filter(catalog -> catalog.version().equals(world.platform().newestVersion()))
                    .isPresent();
            if (node.alive() && !newest) {
                throw world.violation("a configuration comes into force everywhere", node.name() + " lacks it");
            }
        }
    }

    /**
     * A broken promise.
     *
     * @param seed the seed that broke it
     * @param violation the promise, by what it was broken, and when
     * @param plan the shortest plan found that still breaks it
     */
    public record Finding(long seed, String violation, ImmutableList<String> plan) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + violation + "\n  " + String.join("\n  ", plan);
        }
    }
}
