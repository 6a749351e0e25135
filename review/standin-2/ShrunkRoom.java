import java.nio.file.Path;
import java.util.List;

/**
 * A worker's capacity shrinks while the store turns one node away, the one that gives the worker its orders.
 *
 * <p>With TROUBLE=0 the store serves all nodes.
 */
public final class ShrunkRoom {
    /** {@code StabilityMs} and {@code HeartbeatMs} of the small sites. */
    private static final long ROOM_COUNTS_AFTER_MILLIS = 3_000 + 1_500;

    private static final long AWAY_MILLIS = 9_000;
    private static final long SMALL = 32_000;

    public static void main(String[] arguments) {
        World.run(() -> play(arguments));
    }

    private static void play(String[] arguments) throws Exception {
        boolean trouble = !System.getenv().getOrDefault("TROUBLE", "1").equals("0");
        try (World world = new World(Path.of(arguments[0]))) {
            world.addWorker("espoo-a", 64_000);
            world.addWorker("vantaa-b", 64_000);
            world.addNode("espoo-a", 0.75);
            world.addNode("vantaa-b", 0.75);
            world.addNode("helsinki-c", 0.75);
            world.startAll();
            world.awaitReady();
            Store.sleep(4_000);
            world.post(world.nodes.get(0), "0000000000000001", 1, 200, 27_000, 1_500);
            int holder = holder(world);
            world.record.write("script", world.nodes.get(holder).name() + " gives the orders");
            if (trouble) {
                world.gates.get(holder).turnAway(true);
                world.record.write("store", "turns " + world.nodes.get(holder).name() + " away (503) and serves the others");
            }
            long awayAt = world.record.millis();
            Store.sleep(1_000);
            Worker shrunk = world.workers.get(0);
            shrunk.resize(SMALL);
            long shrunkAt = world.record.millis();
            world.record.write("worker", "the capacity of the first worker shrinks to " + SMALL + ", and its entry says so");
            int number = 16;
            while (world.record.millis() < awayAt + AWAY_MILLIS - 500) {
                String job = String.format("%016x", number++);
                int node = (holder + 1 + number % 2) % 3;
                Http.daemon(() -> world.post(world.nodes.get(node), job, 4, 200, 27_000, 1_500));
                Store.sleep(350);
            }
            world.gates.get(holder).turnAway(false);
            Store.sleep(1_500);
            judge(world, shrunk, shrunkAt);
        }
    }

    /** Returns the number of the node that gave the orders for the first job, by the log of the node that answered it. */
    private static int holder(World world) throws Exception {
        Store.sleep(500);
        String log = world.nodes.get(0).log();
        for (int i = 0; i < world.nodes.size(); i++) {
            if (log.contains("\"holder\":\"" + world.nodes.get(i).name() + "\"")) {
                return i;
            }
        }
        world.end(World.COULD_NOT_RUN, "no node has given the orders for the first job");
        return -1;
    }

    private static void judge(World world, Worker shrunk, long shrunkAt) {
        List<Worker.Start> over = shrunk.starts().stream()
                .filter(start -> start.atMillis() > shrunkAt + ROOM_COUNTS_AFTER_MILLIS && start.together() > SMALL)
                .toList();
        if (!over.isEmpty()) {
            world.end(
                    World.BROKEN,
                    "LIMIT broken: " + over.size() + " starts brought the worker over its capacity of " + SMALL
                            + " later than " + ROOM_COUNTS_AFTER_MILLIS + " ms after it had shrunk, the first to "
                            + over.get(0).together());
        }
        world.end(World.HELD, "LIMIT held: no start brought the worker over its capacity");
    }
}
