import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines of one zone are replaced in turn over the life of a deployment; then all machines lose power and come
 * back.
 *
 * <p>With TROUBLE=0 no machine is replaced; the power is lost all the same.
 */
public final class RemovedMachines {
    private static final int REPLACED = 96;
    private static final int AT_A_TIME = 12;
    private static final String[] ZONES = {"espoo-a", "vantaa-b", "helsinki-c"};

    /** {@code RecoverS} of the small sites, and for how long traffic goes on after it. */
    private static final long RECOVER_MILLIS = 12_000;

    private static final long TRAFFIC_AFTER_MILLIS = 4_000;
    private static final long PERIOD_MILLIS = 100;

    public static void main(String[] arguments) {
        World.run(() -> play(arguments));
    }

    private static void play(String[] arguments) throws Exception {
        boolean trouble = !System.getenv().getOrDefault("TROUBLE", "1").equals("0");
        try (World world = new World(Path.of(arguments[0]))) {
            for (String zone : ZONES) {
                world.addWorker(zone, 64_000);
                world.addNode("front-" + zone + "-900", zone, "127.0.0." + (11 + world.nodes.size()), 0.75);
            }
            world.startAll();
            world.awaitReady();
            if (trouble) {
                replaceMachines(world);
            }
            Store.sleep(3_000);
            Traffic before = new Traffic(world, 1);
            before.send(3_000);
            world.killAll();
            Store.sleep(600);
            world.startAll();
            long backAt = world.record.millis();
            world.record.write("script", "all machines are back");
            Traffic recovering = new Traffic(world, 100_000);
            recovering.send(RECOVER_MILLIS);
            Traffic after = new Traffic(world, 200_000);
            after.send(TRAFFIC_AFTER_MILLIS);
            Store.sleep(1_700);
            judge(world, before, recovering, after, backAt);
        }
    }

    /** Starts machines, and removes them for good once they are in the store; the next ones come at other addresses. */
    private static void replaceMachines(World world) throws Exception {
        for (int first = 0; first < REPLACED; first += AT_A_TIME) {
            List<Node> serving = new ArrayList<>();
            for (int number = first; number < first + AT_A_TIME; number++) {
                String name = String.format("front-%s-%03d", ZONES[0], number + 1);
                serving.add(world.startForRemoval(name, ZONES[0], "127.0.1." + (number + 1), 0.75));
            }
            for (Node node : serving) {
                long until = world.record.millis() + 15_000;
                while (world.store.text("nodes", node.name()).isEmpty() && world.record.millis() < until) {
                    Store.sleep(20);
                }
            }
            serving.forEach(Node::kill);
            world.record.write("script", "machines " + (first + 1) + " to " + (first + AT_A_TIME) + " are removed for good");
        }
    }

    /** Jobs at a steady rate, each to the next node. */
    private static final class Traffic {
        private final World world;
        private final int firstJob;
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        Traffic(World world, int firstJob) {
            this.world = world;
            this.firstJob = firstJob;
        }

        void send(long forMillis) {
            long until = world.record.millis() + forMillis;
            while (world.record.millis() < until) {
                int number = sent.getAndIncrement();
                Http.daemon(() -> {
                    Node node = world.nodes.get(number % world.nodes.size());
                    Http.Answer answer = world.post(node, String.format("%016x", firstJob + number), 2, 60, 8_000, 1_500);
                    if (answer.status() == 200 && answer.body().contains("done")) {
                        served.incrementAndGet();
                    }
                });
                Store.sleep(PERIOD_MILLIS);
            }
        }

        @Override
        public String toString() {
            return served + " of " + sent;
        }
    }

    private static void judge(World world, Traffic before, Traffic recovering, Traffic after, long backAt) {
        String counts = "served before the fault " + before + ", in the first 12 s " + recovering + ", in the 4 s after that "
                + after;
        if (4 * before.served.get() < before.sent.get()) {
            world.end(World.COULD_NOT_RUN, "less than a quarter was served before the fault: " + counts);
        }
        if (4 * after.served.get() < after.sent.get()) {
            world.end(World.BROKEN, "RECOVER broken: " + counts);
        }
        world.end(World.HELD, "RECOVER held: " + counts);
    }
}
