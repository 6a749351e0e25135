package org.tarragonarch.core.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.model.id.TeamName;
import org.testng.annotations.Test;

public class JobQueueTest {
    private static final TeamName PRESS = TeamName.of("press");
    private static final TeamName STUDENTS = TeamName.of("students");
    private static final long MILLI = 1_000_000;

    private final JobQueue<String> queue = JobQueue.create();

    private static String start(JobQueue<String> queue) {
        String job = queue.next(team -> true).get();
        queue.taskStarted(job);
        return job;
    }

    @Test
    public void testNext_leastExpectedWork() {
        JobQueue<String> jobs = JobQueue.create();
        jobs.add("long", PRESS, 1, 10, 100 * MILLI);
        jobs.add("short", PRESS, 1, 2, 100 * MILLI);
        assertEquals(start(jobs), "short");
        jobs.add("middle", PRESS, 1, 1, 150 * MILLI);
        assertEquals(start(jobs), "short");
        assertEquals(start(jobs), "middle");
        assertEquals(start(jobs), "long");
        assertEquals(jobs.queuedTasks(), 9);
    }

    /** Guards against a job queued with a long estimate that newer, smaller ones overtake until its deadline. */
    @Test
    public void testNext_largerJobIsNotStarved() {
        JobQueue<String> jobs = JobQueue.create();
        jobs.add("old", PRESS, 1, 3, 200 * MILLI);
        jobs.add("new-0", PRESS, 1, 3, 100 * MILLI);
        int overtaken = 0;
        String next = start(jobs);
        while (!next.equals("old") && overtaken < 1_000) {
            overtaken++;
            jobs.add("new-" + overtaken, PRESS, 1, 1, 100 * MILLI);
            next = start(jobs);
        }
        // Three tasks were queued with it, and four times (600 - 100) ms is the work of 20 more.
        assertTrue(overtaken <= 23, overtaken + " tasks overtook it");
    }

    @Test
    public void testNext_teamsByWeight() {
        // Guards against a team that adds ten thousand tasks at once and so delays the few jobs of another team. On a
        // full service each team gets its share by weight.
        JobQueue<String> jobs = JobQueue.create();
        jobs.add("flood", STUDENTS, 1, 10_000, 200 * MILLI);
        for (int i = 0; i < 100; i++) {
            start(jobs);
        }
        jobs.add("press", PRESS, 3, 3000, 100 * MILLI);
        Map<String, Integer> started = new HashMap<>();
        for (int i = 0; i < 700; i++) {
            started.merge(start(jobs), 1, Integer::sum);
        }
        assertEquals(started.get("press"), 600, 6, "three quarters of the time in tasks of half the length");
    }

    @Test
    public void testNext_teamAtQuotaGainsNoCredit() {
        // Guards against a team that waits at its quota and afterwards locks out another team until it has caught up.
        JobQueue<String> jobs = JobQueue.create();
        jobs.add("held", PRESS, 1, 1000, 100 * MILLI);
        jobs.add("free", STUDENTS, 1, 1000, 100 * MILLI);
        for (int i = 0; i < 500; i++) {
            String job = jobs.next(STUDENTS::equals).get();
            assertEquals(job, "free");
            jobs.taskStarted(job);
        }
        int limited = 0;
        for (int i = 0; i < 100; i++) {
            limited += start(jobs).equals("held") ? 1 : 0;
        }
        assertEquals(limited, 50, 1);
        assertEquals(jobs.next(team -> false), Optional.empty());
    }

    @Test
    public void testExpectedNanosAhead() {
        assertEquals(queue.expectedNanosAhead(PRESS, 1), 0);
        queue.add("flood", STUDENTS, 1, 1000, 100 * MILLI);
        assertEquals(queue.expectedNanosAhead(PRESS, 1), 0, "another team's backlog is not ahead of the first job");
        queue.add("press", PRESS, 1, 10, 100 * MILLI);
        assertEquals(queue.expectedNanosAhead(PRESS, 1), 2000 * MILLI);
        assertEquals(queue.expectedNanosAhead(PRESS, 1, 100 * MILLI), 0, "a small job comes before the larger one");
        assertEquals(queue.queuedTasks(STUDENTS), 1000);
        queue.remove("flood");
        queue.remove("flood");
        assertEquals(queue.expectedNanosAhead(PRESS, 1), 1000 * MILLI);
        assertEquals(queue.queuedTasks(), 10);
    }

    @Test
    public void testRandomOperations_countsMatchModel() {
        JobQueue<String> jobs = JobQueue.create();
        Random random = new Random(11);
        Map<String, Integer> model = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            String job = "job-" + random.nextInt(50);
            TeamName team = TeamName.of("team-" + job.hashCode() % 5);
            if (random.nextInt(3) == 0) {
                int tasks = 1 + random.nextInt(5);
                jobs.add(job, team, 1 + random.nextInt(3), tasks, random.nextInt(1000) * MILLI);
                model.merge(job, tasks, Integer::sum);
            } else if (random.nextInt(20) == 0) {
                jobs.remove(job);
                model.remove(job);
            } else {
                Optional<String> next = jobs.next(name -> true);
                assertEquals(next.isPresent(), !model.isEmpty());
                next.ifPresent(started -> {
                    jobs.taskStarted(started);
                    model.computeIfPresent(started, (key, left) -> left == 1 ? null : left - 1);
                });
            }
            assertEquals(
                    jobs.queuedTasks(),
                    model.values().stream().mapToInt(Integer::intValue).sum());
        }
        assertTrue(jobs.expectedNanosAhead(TeamName.of("team-0"), 1) >= 0);
    }
}
