package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.KindName;

/** A random plan of submissions and faults, drawn from a seed. */
final class RandomPlan {
    static final long DURATION_NANOS = Duration.ofSeconds(20).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SUBMISSIONS = 70;
    private static final int FAULTS = 25;

    private final Random random;
    private final ImmutableList<String> nodes;
    private final ImmutableList<String> endpoints;
    private final List<PlanStep> steps = new ArrayList<>();

    private RandomPlan(long seed, ImmutableList<String> nodes, ImmutableList<String> endpoints) {
        this.random = new Random(seed);
        this.nodes = nodes;
        this.endpoints = endpoints;
    }

    static ImmutableList<PlanStep> draw(long seed, ImmutableList<String> nodes, ImmutableList<String> endpoints) {
        RandomPlan plan = new RandomPlan(seed, nodes, endpoints);
        for (int count = 0; count < SUBMISSIONS; count++) {
            plan.addSubmission(count);
        }
        for (int count = 0; count < FAULTS; count++) {
            plan.addFault();
        }
        plan.steps.sort(Comparator.comparingLong(PlanStep::nanos));
        return ImmutableList.copyOf(plan.steps);
    }

    private void addSubmission(int count) {
        long at = randomMillis(20_000);
        SubmissionForm form = random.nextBoolean() ? SubmissionForm.JOB : SubmissionForm.REQUEST;
        KindName kind = random.nextInt(3) == 0 ? SampleCatalog.IDEMPOTENT : SampleCatalog.NON_IDEMPOTENT;
        Optional<String> key = random.nextInt(3) == 0 ? Optional.empty() : Optional.of("key-" + count);
        int tasks = form == SubmissionForm.JOB ? 1 + random.nextInt(6) : 1;
        long run = random.nextInt(10) == 0 ? randomMillis(4_000) : randomMillis(600);
        Optional<Duration> allowed = random.nextInt(4) == 0
                ? Optional.of(Duration.ofNanos(NANOS_PER_MILLI + randomMillis(2_000)))
                : Optional.empty();
        AtomicReference<SentSubmission> sent = new AtomicReference<>();
        String first = pick(nodes);
        add(
                at,
                "submit " + form + " " + kind + " key " + key + " tasks " + tasks + " to " + first,
                world -> world.submit(first, form, kind, key, tasks, run, allowed)
                        .ifPresent(sent::set));
        if (key.isPresent()) {
            for (int again = random.nextInt(3); again > 0; again--) {
                String other = pick(nodes);
                long delay = random.nextBoolean() ? 0 : randomMillis(3_000);
                add(
                        at + delay,
                        "submit again key " + key + " to " + other,
                        world -> world.submit(other, form, kind, key, tasks, run, allowed));
            }
        }
        if (random.nextInt(6) == 0) {
            CancelCause cause = random.nextBoolean() ? CancelCause.CALLER : CancelCause.HANG_UP;
            add(at + randomMillis(800), "cancel key " + key + " by " + cause, world -> {
                if (sent.get() != null) {
                    world.cancel(sent.get(), cause);
                }
            });
        }
    }

    private void addFault() {
        switch (random.nextInt(11)) {
            case 0 -> addNodeKill();
            case 1 -> addNodeFreeze();
            case 2 -> addEndpointKill();
            case 3 -> addEndpointDrain();
            case 4 -> addEndpointFault();
            case 5 -> addCut(pick(nodes), pick(endpoints));
            case 6 -> addCut(pick(nodes), pick(nodes));
            case 7 -> addCut(pick(nodes), World.PLATFORM);
            case 8 -> addPlatformOutage();
            case 9 -> addPlatformFaults();
            default -> add(randomMillis(20_000), "accept a configuration", World::acceptConfiguration);
        }
    }

    private void addNodeKill() {
        String node = pick(nodes);
        long at = randomMillis(20_000);
        if (random.nextInt(4) == 0) {
            add(at, "drain node " + node, world -> world.drainNode(node));
        } else {
            add(at, "kill node " + node, world -> world.killNode(node));
        }
        add(at + NANOS_PER_MILLI + randomMillis(4_000), "restart node " + node, world -> world.restartNode(node));
    }

    private void addNodeFreeze() {
        String node = pick(nodes);
        long nanos = randomMillis(6_000);
        add(
                randomMillis(20_000),
                "freeze node " + node + " for " + nanos / NANOS_PER_MILLI + "ms",
                world -> world.freezeNode(node, nanos));
    }

    private void addEndpointKill() {
        String endpoint = pick(endpoints);
        long at = randomMillis(20_000);
        add(at, "kill endpoint " + endpoint, world -> world.endpoint(endpoint).kill());
        add(at + randomMillis(4_000), "restart endpoint " + endpoint, world -> world.restartEndpoint(endpoint));
    }

    private void addEndpointDrain() {
        String endpoint = pick(endpoints);
        long at = randomMillis(20_000);
        add(at, "drain endpoint " + endpoint, world -> world.drainEndpoint(endpoint));
        add(at + randomMillis(9_000), "restart endpoint " + endpoint, world -> world.restartEndpoint(endpoint));
    }

    private void addEndpointFault() {
        String endpoint = pick(endpoints);
        EndpointFault fault = EndpointFault.values()[random.nextInt(EndpointFault.values().length)];
        long at = randomMillis(20_000);
        add(
                at,
                "endpoint " + endpoint + " " + fault,
                world -> world.endpoint(endpoint).setFault(fault));
        add(
                at + randomMillis(3_000),
                "endpoint " + endpoint + " without fault",
                world -> world.endpoint(endpoint).setFault(EndpointFault.NONE));
    }

    private void addCut(String one, String other) {
        long at = randomMillis(20_000);
        if (random.nextBoolean()) {
            add(at, "cut " + one + " to " + other, world -> world.network().cut(one, other));
        } else {
            add(at, "cut " + one + " and " + other, world -> world.network().cutBoth(one, other));
        }
        add(
                at + randomMillis(5_000),
                "heal " + one + " and " + other,
                world -> world.network().heal(one, other));
    }

    private void addPlatformOutage() {
        long at = randomMillis(20_000);
        add(at, "platform out of service", world -> world.platform().setOut(true));
        add(
                at + randomMillis(6_000),
                "platform back in service",
                world -> world.platform().setOut(false));
    }

    private void addPlatformFaults() {
        double share = random.nextInt(3) * 0.3;
        add(
                randomMillis(20_000),
                "platform loses " + share + " of replies and returns that share of stale reads",
                world -> {
                    world.platform().setReplyLostShare(share);
                    world.platform().setStaleReadShare(share);
                });
        long lag = randomMillis(10_000);
        add(
                randomMillis(20_000),
                "the list lags " + lag / NANOS_PER_MILLI + "ms",
                world -> world.platform().setListLag(lag));
    }

    private void add(long nanos, String text, Consumer<World> effect) {
        steps.add(new PlanStep(nanos, text, effect));
    }

    private long randomMillis(int bound) {
        return random.nextInt(bound) * NANOS_PER_MILLI;
    }

    private String pick(ImmutableList<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
