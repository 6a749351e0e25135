package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobReply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Jobs of a node while one connection between it and a holder fails, at every moment of a job. */
public final class ConnectionFaultSweepTest {
    private static final int FILLER = 1;
    private static final int JOB = 2;

    /** The time in which the tasks that use the full capacity of the node's own domain are started, in milliseconds. */
    private static final long FILL_MILLIS = 300;

    /** The time in which offer and start are exchanged, and in which the end is, in milliseconds. */
    private static final long DENSE_MILLIS = 60;

    /** The run time of a task, in milliseconds. */
    private static final long RUN_MILLIS = 3_000;

    /** The distance of the moments while nothing is exchanged but statuses, in milliseconds. */
    private static final long SPARSE_STEP_MILLIS = 37;

    /** The time in which a job must be answered, in milliseconds: a run, and again most of one that was lost. */
    private static final long ANSWER_MILLIS = 5_500;

    /** Longer than a test, in milliseconds. */
    private static final long PERMANENT_MILLIS = 60_000;

    /** Returns each fault of each connection, with the job in the node's own domain and in the other one. */
    @DataProvider
    public Object[][] faults() {
        List<Object[]> rows = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (ConnectionEnds ends : ConnectionEnds.values()) {
                for (boolean ownDomainFull : new boolean[] {false, true}) {
                    for (int tasks = 1; tasks <= 2; tasks++) {
                        rows.add(new Object[] {fault, ends, ownDomainFull, tasks});
                    }
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against a job that is given up although a holder with capacity is reachable over new connections. */
    @Test(dataProvider = "faults")
    public void testJob_connectionFails(Fault fault, ConnectionEnds ends, boolean ownDomainFull, int tasks) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (long moment : moments()) {
            play(fault, ends, ownDomainFull, tasks, moment)
                    .ifPresent(failure -> failures.add("at " + moment + " ms: " + failure));
        }
        assertEquals(failures.build().toString(), "[]");
    }

    private static List<Long> moments() {
        List<Long> moments = new ArrayList<>();
        for (long moment = 0; moment < RUN_MILLIS + DENSE_MILLIS; moment++) {
            boolean dense = moment < DENSE_MILLIS || moment > RUN_MILLIS - DENSE_MILLIS / 2;
            if (dense || moment % SPARSE_STEP_MILLIS == 0) {
                moments.add(moment);
            }
        }
        return moments;
    }

    /** Plays one job and returns what was wrong; empty if it was answered in time and no task ran twice at once. */
    private static Optional<String> play(
            Fault fault, ConnectionEnds ends, boolean ownDomainFull, int tasks, long moment) {
        SeparatePoolsFixture cluster = new SeparatePoolsFixture();
        if (ownDomainFull) {
            cluster.submit(cluster.hobartHolder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
            cluster.timers.advance(FILL_MILLIS);
        }
        List<JobReply> replies = new ArrayList<>();
        cluster.submit(cluster.hobartNode, JOB, tasks, replies::add);
        cluster.timers.advance(moment);
        fault.inject(cluster.connections, ends.from(cluster), ends.to(cluster));
        cluster.timers.advance(ANSWER_MILLIS - moment);
        if (!cluster.ledger.violations().isEmpty()) {
            return Optional.of(cluster.ledger.violations().toString());
        }
        boolean isDone = replies.size() == 1 && replies.get(0).outcome() == JobOutcome.DONE;
        return isDone ? Optional.empty() : Optional.of("answered " + replies);
    }

    /** What happens to a connection. */
    private enum Fault {
        BREAK {
            @Override
            void inject(FakeConnections connections, FakeNode from, FakeNode to) {
                connections.breakConnection(from.id(), to.id());
            }
        },
        SILENCE {
            @Override
            void inject(FakeConnections connections, FakeNode from, FakeNode to) {
                connections.stall(from.id(), to.id(), PERMANENT_MILLIS);
            }
        },
        SILENCE_BOTH {
            @Override
            void inject(FakeConnections connections, FakeNode from, FakeNode to) {
                connections.stall(from.id(), to.id(), PERMANENT_MILLIS);
                connections.stall(to.id(), from.id(), PERMANENT_MILLIS);
            }
        };

        /** Affects the present connection that one node has opened to another. */
        abstract void inject(FakeConnections connections, FakeNode from, FakeNode to);
    }

    /** The nodes at the ends of a connection, as opened by the first one. */
    private enum ConnectionEnds {
        NODE_TO_OWN_HOLDER(cluster -> cluster.hobartNode, cluster -> cluster.hobartHolder),
        OWN_HOLDER_TO_NODE(cluster -> cluster.hobartHolder, cluster -> cluster.hobartNode),
        NODE_TO_OTHER_HOLDER(cluster -> cluster.hobartNode, cluster -> cluster.launcestonHolder),
        OTHER_HOLDER_TO_NODE(cluster -> cluster.launcestonHolder, cluster -> cluster.hobartNode);

        private final Function<SeparatePoolsFixture, FakeNode> from;
        private final Function<SeparatePoolsFixture, FakeNode> to;

        ConnectionEnds(Function<SeparatePoolsFixture, FakeNode> from, Function<SeparatePoolsFixture, FakeNode> to) {
            this.from = from;
            this.to = to;
        }

        FakeNode from(SeparatePoolsFixture cluster) {
            return from.apply(cluster);
        }

        FakeNode to(SeparatePoolsFixture cluster) {
            return to.apply(cluster);
        }
    }
}
