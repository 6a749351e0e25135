import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * SIGHUP just after the start of a process, as when the settings file is written at a start and announced.
 *
 * <p>Arguments: the folder for the record and the folder for settings and logs. Exits with 1 if processes ended by
 * themselves three times on two machines, with 0 if not, with 2 if the machines do not come up.
 */
final class HangUpAtStart {
    private static final String[] ZONES = {"hobart", "launceston", "devonport"};
    private static final int MACHINES = 7;
    private static final int SIGNALLED = 2;
    /** The starts that get a signal; the end after the first counts as near the planned SIGTERM, and is not counted. */
    private static final int SIGNALS = 4;

    private static final int ENDS_OF_A_FAULT = 3;
    private static final long AFTER_START_MILLIS = 100;
    private static final long RESTART_MILLIS = 700;
    private static final long READY_WITHIN_MILLIS = 20_000;

    private HangUpAtStart() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(arguments[1]);
        int ended = 0;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")), true)) {
            record.println("disruption: " + (trouble ? "SIGHUP to 2 of 7 machines just after a start" : "none at a start"));
            Store store = new Store("127.0.3.1");
            store.put("op", "config", Scene.CONFIGURATION);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                workers.add(new Worker("w" + i, "127.0.2." + (1 + i), ZONES[i % 3], store));
            }
            List<Node> nodes = Scene.nodes(MACHINES, store, folder);
            for (Node node : nodes) {
                node.start();
            }
            if (!Scene.awaitReady(nodes, READY_WITHIN_MILLIS)) {
                record.println("not every machine became ready");
                System.exit(2);
            }
            int machinesWithThreeEnds = 0;
            for (Node node : nodes.subList(0, SIGNALLED)) {
                // The platform stops and starts the process in turn; each start writes the settings file anew.
                node.signal("TERM");
                node.awaitEnd(8_000);
                record.println(node.name() + " stopped by SIGTERM as planned, exit code " + node.exitCode());
                int ends = 0;
                for (int signal = 1; signal <= SIGNALS; signal++) {
                    Thread.sleep(RESTART_MILLIS);
                    node.start();
                    record.println(node.name() + " started");
                    if (!trouble) {
                        break;
                    }
                    Thread.sleep(AFTER_START_MILLIS);
                    node.signal("HUP");
                    record.println(node.name() + " got SIGHUP " + AFTER_START_MILLIS + " ms after its start");
                    if (!node.awaitEnd(2_000)) {
                        record.println(node.name() + " runs on");
                        break;
                    }
                    ends += signal > 1 ? 1 : 0;
                    record.println(node.name() + " ended by itself, exit code " + node.exitCode());
                }
                machinesWithThreeEnds += ends >= ENDS_OF_A_FAULT ? 1 : 0;
                ended += ends;
                if (!node.isAlive()) {
                    node.start();
                }
                boolean back = Scene.awaitReady(List.of(node), READY_WITHIN_MILLIS);
                record.println(node.name() + (back ? " is ready again" : " is not ready again"));
                if (!back) {
                    System.exit(2);
                }
            }
            boolean broken = machinesWithThreeEnds >= SIGNALLED;
            record.println("processes that ended by themselves: " + ended + "; machines with three: " + machinesWithThreeEnds);
            record.println(broken ? "BROKEN" : "held");
            System.exit(broken ? 1 : 0);
        }
    }
}
