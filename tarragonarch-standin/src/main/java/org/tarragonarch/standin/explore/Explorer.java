package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;

/** An explorer that runs random plans in a small world and reports a broken promise with a shortened plan. */
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

    /** Returns the total number of steps of all runs. */
    public long steps() {
        return steps;
    }

    /** Returns the total number of submissions of all runs. */
    public long submissions() {
        return submissions;
    }

    /** Returns the total number of task starts in the ledgers of all runs. */
    public long starts() {
        return starts;
    }

    /** Runs the plan of one seed; returns the broken promise and the shortest plan found that breaks it, if any. */
    public Optional<Finding> run(long seed) {
        ImmutableList<PlanStep> plan = RandomPlan.draw(seed, NODES, ENDPOINTS);
        Optional<String> violation = tryPlan(seed, plan);
        return violation.map(message -> new Finding(seed, message, shorten(seed, plan, message)));
    }

    private ImmutableList<String> shorten(long seed, ImmutableList<PlanStep> plan, String violation) {
        String promise = promiseOf(violation);
        List<PlanStep> shortest = new ArrayList<>(plan);
        for (int size = Math.max(1, shortest.size() / 2); size >= 1; size /= 2) {
            for (int start = 0; start < shortest.size(); ) {
                List<PlanStep> fewer = new ArrayList<>(shortest);
                fewer.subList(start, Math.min(start + size, fewer.size())).clear();
                Optional<String> found = tryPlan(seed, ImmutableList.copyOf(fewer));
                if (found.filter(message -> promiseOf(message).equals(promise)).isPresent()) {
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
            // An exception in a decision would end a node's control thread.
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
            boolean upToDate = node.catalog()
                    .filter(catalog -> catalog.version().equals(world.platform().newestVersion()))
                    .isPresent();
            if (node.alive() && !upToDate) {
                throw world.violation(
                        "a configuration comes into force everywhere", node.name() + " does not have the newest");
            }
        }
    }

    /**
     * A broken promise.
     *
     * @param seed the seed of the plan
     * @param violation the promise, what broke it, and when
     * @param plan the shortest plan found that still breaks it
     */
    public record Finding(long seed, String violation, ImmutableList<String> plan) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + violation + "\n  " + String.join("\n  ", plan);
        }
    }
}
