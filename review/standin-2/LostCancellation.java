import java.nio.file.Path;

/**
 * A client cancels a job, all nodes lose power, and the job's submission arrives once more.
 *
 * <p>Arguments: the folder of the case, and "late" (an earlier write of the store is done late) or "slow" (the store is
 * slow). With TROUBLE=0 the store is sound and nothing loses power; with TROUBLE=power only the power is lost.
 */
public final class LostCancellation {
    private static final String EARLIER_JOB = "a1a1a1a1a1a1a1a1";
    private static final String JOB = "b2b2b2b2b2b2b2b2";

    /** {@code cancel_ms} of the small sites. */
    private static final long CANCEL_MILLIS = 3_000;

    public static void main(String[] arguments) {
        World.run(() -> play(arguments));
    }

    private static void play(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        boolean storeFails = !trouble.equals("0") && !trouble.equals("power");
        boolean isLate = arguments[1].equals("late");
        try (World world = new World(Path.of(arguments[0]))) {
            world.addWorker("espoo-a", 64_000);
            world.addWorker("vantaa-b", 64_000);
            world.addNode("espoo-a", 0.75);
            world.addNode("vantaa-b", 0.75);
            world.startAll();
            world.awaitReady();
            Store.sleep(4_000);
            if (isLate) {
                cancelWithLateWrite(world, storeFails);
            } else {
                cancelWithSlowStore(world, storeFails);
            }
            long acknowledgedAt = world.record.millis();
            if (!trouble.equals("0")) {
                // The late write is done before the power is lost; with the slow store it is lost soon.
                Store.sleep(isLate ? 1_500 : 100);
                world.killAll();
                world.store.slow(1);
                Store.sleep(500);
                world.startAll();
                world.awaitReady();
            }
            Store.sleep(4_000);
            for (Node node : world.nodes) {
                world.record.write("store", "row cancellations/" + node.name() + ": "
                        + world.store.text("cancellations", node.name()).replace("\n", "; "));
            }
            world.post(world.nodes.get(1), JOB, 2, 300, 20_000, 1_500);
            Store.sleep(500);
            judge(world, acknowledgedAt);
        }
    }

    /** The write for an earlier cancellation is not answered, and is done 4 s later, after that for this one. */
    private static void cancelWithLateWrite(World world, boolean storeFails) {
        Node taker = world.nodes.get(0);
        if (storeFails) {
            world.store.delayNextWriteTo("cancellations", 4_000);
        }
        submitAndCancel(world, taker, EARLIER_JOB);
        Store.sleep(2_000);
        submitAndCancel(world, taker, JOB);
        // Until the late write is done.
        Store.sleep(1_000);
    }

    /** Two cancellations in a short time while a write takes 8 x 60 ms; the power is lost 100 ms after the second. */
    private static void cancelWithSlowStore(World world, boolean storeFails) {
        Node taker = world.nodes.get(0);
        if (storeFails) {
            world.store.slow(60);
            Store.sleep(1_000);
        }
        Http.daemon(() -> submitAndCancel(world, taker, EARLIER_JOB));
        Store.sleep(30);
        submitAndCancel(world, taker, JOB);
    }

    /** Submits a job on one connection and cancels it on another while it runs. */
    private static void submitAndCancel(World world, Node taker, String job) {
        Http.daemon(() -> world.post(taker, job, 2, 600, 20_000, 1_500));
        Store.sleep(150);
        Http.Answer answer = world.delete(taker, job);
        if (answer.status() != 200) {
            world.end(World.COULD_NOT_RUN, "the cancellation was not acknowledged with 200");
        }
    }

    private static void judge(World world, long acknowledgedAt) {
        long lateStarts = world.startsOf(JOB).stream()
                .filter(start -> start.atMillis() > acknowledgedAt + CANCEL_MILLIS)
                .count();
        if (lateStarts > 0) {
            world.end(
                    World.BROKEN,
                    "UNASKED broken: " + lateStarts + " tasks of job " + JOB + " started more than " + CANCEL_MILLIS
                            + " ms after its cancelling was acknowledged");
        }
        world.end(World.HELD, "UNASKED held: no task of the cancelled job started later");
    }
}
