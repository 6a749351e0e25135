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

/** Draws a plan of submissions and faults from a seed. */
final class RandomPlan {
    static final long DURATION_NANOS = Duration.ofSeconds(20).toNanos();

    private static final long MILLISECOND = 1_000_000;
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
            plan.submission(count);
        }
        for (int count = 0; count < FAULTS; count++) {
            plan.fault();
        }
        plan.steps.sort(Comparator.comparingLong(PlanStep::nanos));
        return ImmutableList.copyOf(plan.steps);
    }

    private void submission(int count) {
        long at = millis(20_000);
        SubmissionForm form = random.nextBoolean() ? SubmissionForm.JOB : SubmissionForm.REQUEST;
        KindName kind = random.nextInt(3) == 0 ? SampleCatalog.IDEMPOTENT : SampleCatalog.NON_IDEMPOTENT;
        Optional<String> key = random.nextInt(3) == 0 ? Optional.empty() : Optional.of("key-" + count);
        int tasks = form == SubmissionForm.JOB ? 1 + random.nextInt(6) : 1;
        long run = random.nextInt(10) == 0 ? millis(4_000) : millis(600);
        Optional<Duration> allowed =
                random.nextInt(4) == 0 ? Optional.of(Duration.ofNanos(MILLISECOND + millis(2_000))) : Optional.empty();
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
                long delay = random.nextBoolean() ? 0 : millis(3_000);
                add(
                        at + delay,
                        "submit again key " + key + " to " + other,
                        world -> world.submit(other, form, kind, key, tasks, run, allowed));
            }
        }
        if (random.nextInt(6) == 0) {
            CancelCause cause = random.nextBoolean() ? CancelCause.CALLER : CancelCause.HANG_UP;
            add(at + millis(800), "cancel key " + key + " by " + cause, world -> {
                if (sent.get() != null) {
                    world.cancel(sent.get(), cause);
                }
            });
        }
    }

    private void fault() {
        switch (random.nextInt(11)) {
            case 0 -> nodeKill();
            case 1 -> nodeFreeze();
            case 2 -> endpointKill();
            case 3 -> endpointDrain();
            case 4 -> endpointFault();
            case 5 -> cut(pick(nodes), pick(endpoints));
            case 6 -> cut(pick(nodes), pick(nodes));
            case 7 -> cut(pick(nodes), World.PLATFORM);
            case 8 -> platformOut();
            case 9 -> platformFaults();
            default -> add(millis(20_000), "accept a configuration", World::acceptConfiguration);
        }
    }

    private void nodeKill() {
        String node = pick(nodes);
        long at = millis(20_000);
        if (random.nextInt(4) == 0) {
            add(at, "drain node " + node, world -> world.drainNode(node));
        } else {
            add(at, "kill node " + node, world -> world.killNode(node));
        }
        add(at + MILLISECOND + millis(4_000), "restart node " + node, world -> world.restartNode(node));
    }

    private void nodeFreeze() {
        String node = pick(nodes);
        long nanos = millis(6_000);
        add(
                millis(20_000),
                "freeze node " + node + " for " + nanos / MILLISECOND + "ms",
                world -> world.freezeNode(node, nanos));
    }

    private void endpointKill() {
        String endpoint = pick(endpoints);
        long at = millis(20_000);
        add(at, "kill endpoint " + endpoint, world -> world.endpoint(endpoint).kill());
        add(at + millis(4_000), "restart endpoint " + endpoint, world -> world.restartEndpoint(endpoint));
    }

    private void endpointDrain() {
        String endpoint = pick(endpoints);
        long at = millis(20_000);
        add(at, "drain endpoint " + endpoint, world -> world.drainEndpoint(endpoint));
        add(at + millis(9_000), "restart endpoint " + endpoint, world -> world.restartEndpoint(endpoint));
    }

    private void endpointFault() {
        String endpoint = pick(endpoints);
        EndpointFault fault = EndpointFault.values()[random.nextInt(EndpointFault.values().length)];
        long at = millis(20_000);
        add(
                at,
                "endpoint " + endpoint + " " + fault,
                world -> world.endpoint(endpoint).setFault(fault));
        add(
                at + millis(3_000),
                "endpoint " + endpoint + " well",
                world -> world.endpoint(endpoint).setFault(EndpointFault.NONE));
    }

    private void cut(String one, String other) {
        long at = millis(20_000);
        if (random.nextBoolean()) {
            add(at, "cut " + one + " to " + other, world -> world.network().cut(one, other));
        } else {
            add(at, "cut " + one + " and " + other, world -> world.network().cutBoth(one, other));
        }
        add(
                at + millis(5_000),
                "heal " + one + " and " + other,
                world -> world.network().heal(one, other));
    }

    private void platformOut() {
        long at = millis(20_000);
        add(at, "platform out", world -> world.platform().setOut(true));
        add(at + millis(6_000), "platform back", world -> world.platform().setOut(false));
    }

    private void platformFaults() {
        double share = random.nextInt(3) * 0.3;
        add(millis(20_000), "platform loses " + share + " of replies, and reads are as stale", world -> {
            world.platform().setReplyLostShare(share);
            world.platform().setStaleReadShare(share);
        });
        long lag = millis(10_000);
        add(
                millis(20_000),
                "the list lags " + lag / MILLISECOND + "ms",
                world -> world.platform().setListLag(lag));
    }

    private void add(long nanos, String text, Consumer<World> effect) {
        steps.add(new PlanStep(nanos, text, effect));
    }

    private long millis(int bound) {
        return random.nextInt(bound) * MILLISECOND;
    }

    private String pick(ImmutableList<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
