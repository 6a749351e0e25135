package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.testng.annotations.Test;

/** Jobs of all nodes while connections between any of them break or go silent in series. */
public final class ConnectionFaultSeriesTest {
    private static final int SEEDS = Integer.getInteger("connection.fault.seeds", 300);
    private static final int MAX_FAULTS = 12;
    private static final int JOBS = 2;

    /** The time in which faults occur, in milliseconds. */
    private static final int FAULTS_MILLIS = 2_500;

    /** The client's deadline, in milliseconds. */
    private static final long DEADLINE_MILLIS = 8_000;

    /** Longer than a test, in milliseconds. */
    private static final long PERMANENT_MILLIS = 60_000;

    /** Guards against jobs that run twice, or are given up, after several connections have failed one after another. */
    @Test
    public void testJobs_connectionsFailInSeries() {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (int seed = 0; seed < SEEDS; seed++) {
            String failure = play(seed);
            if (!failure.isEmpty()) {
                failures.add("seed " + seed + ": " + failure);
            }
        }
        assertEquals(failures.build().toString(), "[]");
    }

    /** Plays the faults of a seed and returns what was wrong; empty if all jobs were done, and no task ran twice. */
    private static String play(int seed) {
        Random random = new Random(seed);
        SeparatePoolsFixture cluster = new SeparatePoolsFixture();
        ImmutableList<FakeNode> nodes = ImmutableList.copyOf(cluster.connections.nodes());
        List<JobReply> replies = new ArrayList<>();
        for (int job = 1; job <= JOBS; job++) {
            cluster.submit(nodes.get(random.nextInt(nodes.size())), job, 1 + random.nextInt(2), replies::add);
            cluster.timers.advance(random.nextInt(20));
        }
        int faults = 1 + random.nextInt(MAX_FAULTS);
        for (int fault = 0; fault < faults; fault++) {
            fail(random, nodes, cluster.connections);
            cluster.timers.advance(random.nextInt(random.nextBoolean() ? 10 : 2 * FAULTS_MILLIS / faults));
        }
        cluster.timers.advance(DEADLINE_MILLIS);
        String violations = Iterables.toString(cluster.ledger.violations());
        long done = replies.stream()
                .filter(reply -> reply.outcome() == JobOutcome.DONE)
                .count();
        return cluster.ledger.violations().isEmpty() && done == JOBS ? "" : violations + " " + replies;
    }

    private static void fail(Random random, ImmutableList<FakeNode> nodes, FakeConnections connections) {
        FakeNode from = nodes.get(random.nextInt(nodes.size()));
        FakeNode to = nodes.get(random.nextInt(nodes.size()));
        if (from == to) {
            return;
        }
        if (random.nextBoolean()) {
            connections.breakConnection(from.id(), to.id());
        } else {
            connections.stall(from.id(), to.id(), PERMANENT_MILLIS);
        }
    }
}
