import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What the scripts share: a deployment of the size of Derwent Pages. */
final class Scene {
    /** One queue of Derwent Pages. */
    static final String CONFIGURATION = "{\"Version\":3,\"Routes\":[{\"Name\":\"word-count\",\"Host\":\"hobart.example\","
            + "\"Prefix\":\"/board/\",\"Service\":\"proof-board\",\"Priority\":1,\"Attempts\":3,\"Stretch\":1.6,"
            + "\"SloMs\":60}],\"Services\":[{\"Name\":\"proof-board\"}],\"Limits\":{}}";

    private static final String[] ZONES = {"hobart", "launceston", "devonport"};

    private Scene() {}

    /** Creates the machines in the zones by turns, each with an address of its own. */
    static List<Node> nodes(int count, Store store, Path folder) throws IOException {
        int port = freePorts();
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String zone = ZONES[i % ZONES.length];
            nodes.add(new Node("front-" + zone + "-" + (1 + i / ZONES.length), zone, "127.0.1." + (1 + i), port, store, folder));
        }
        return nodes;
    }

    /** Returns the first of four ports below the ephemeral ones that are free on the machines' addresses. */
    private static int freePorts() {
        Random random = new Random();
        while (true) {
            int port = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int i = 0; i < 4 && free; i++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress("0.0.0.0", port + i));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
    }

    /** Waits until every machine is ready. */
    static boolean awaitReady(List<Node> nodes, long millis) throws InterruptedException {
        long end = Worker.now() + millis;
        for (Node node : nodes) {
            while (!Client.isReady(node)) {
                if (Worker.now() > end) {
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    /** Returns the body of a job that is answered when it has ended. */
    static String job(int tasks, int millis) {
        return "{\"BestEffort\":true," + storedJob(tasks, millis).substring(1);
    }

    /** Returns the body of a job that is to be stored. */
    static String storedJob(int tasks, int millis) {
        return "{\"Spec\":\"" + millis + "\",\"Steps\":[{\"Count\":" + tasks
                + ",\"Cpu\":6800,\"MemMb\":64,\"EstMs\":" + millis + "}]}";
    }
}
