package org.tarragonarch.standin.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tarragonarch.adapter.standin.StandInEndpoint;
import org.tarragonarch.adapter.standin.StandInStore;
import org.tarragonarch.standin.process.JvmProcess;

/** The cluster under test: nodes as processes, and a stand-in store and stand-in endpoints behind proxies. */
final class SoakCluster implements AutoCloseable {
    static final String QUEUE = "/board/";

    private static final String NODE_MAIN = "org.tarragonarch.entry.cluster.ClusterMain";
    private static final String[] DOMAINS = {"hobart", "launceston"};
    private static final int FIRST_VERSION = 3;
    private static final int FIRST_ADDRESS = 11;

    private final Path folder;
    private final StandInStore store = new StandInStore();
    private final List<StandInEndpoint> endpoints = new ArrayList<>();
    private final List<FaultyLink> endpointLinks = new ArrayList<>();
    private final List<FaultyLink> storeLinks = new ArrayList<>();
    private final List<NodePorts> ports = new ArrayList<>();
    private final List<JvmProcess> nodes = new ArrayList<>();
    private final Thread cleanUp = new Thread(this::killAllNodes);
    private final List<AddedQueue> addedQueues = new ArrayList<>();
    private int version = FIRST_VERSION;
    private int restarts;

    /** Starts the store, the endpoints and the nodes. */
    SoakCluster(Path folder, int nodeCount, int endpointCount) throws IOException {
        this.folder = folder;
        // Kills the processes even if the JVM of the soak is terminated.
        Runtime.getRuntime().addShutdownHook(cleanUp);
        for (int i = 0; i < endpointCount; i++) {
            StandInEndpoint endpoint = new StandInEndpoint();
            endpoints.add(endpoint);
            endpointLinks.add(new FaultyLink(port(endpoint.address())));
            register(i);
        }
        changeConfiguration();
        for (int i = 0; i < nodeCount; i++) {
            storeLinks.add(new FaultyLink(port(store.address())));
            ports.add(NodePorts.free());
            nodes.add(launch(i));
        }
    }

    StandInStore store() {
        return store;
    }

    FaultyLink storeLink(int node) {
        return storeLinks.get(node % storeLinks.size());
    }

    FaultyLink endpointLink(int endpoint) {
        return endpointLinks.get(endpoint % endpointLinks.size());
    }

    StandInEndpoint endpoint(int endpoint) {
        return endpoints.get(endpoint % endpoints.size());
    }

    List<StandInEndpoint> endpoints() {
        return endpoints;
    }

    synchronized JvmProcess node(int node) {
        return nodes.get(node % nodes.size());
    }

    int nodeCount() {
        return ports.size();
    }

    /** Returns the address of a node for clients. */
    String clientAddress(int node) {
        return "127.0.0.1:" + ports.get(node % ports.size()).client();
    }

    /** Starts a node unless its process is running, which overlapping faults can cause. */
    synchronized void startNode(int node) throws IOException {
        int index = node % nodes.size();
        if (!nodes.get(index).isAlive()) {
            nodes.set(index, launch(index));
        }
    }

    synchronized void killAllNodes() {
        nodes.forEach(JvmProcess::kill);
    }

    synchronized void startAllNodes() throws IOException {
        for (int i = 0; i < nodes.size(); i++) {
            startNode(i);
        }
    }

    /** Ends every fault and starts each node that is not running. */
    void clearFaults() throws IOException, InterruptedException {
        store.setUnavailable(false);
        store.setUnresponsive(false);
        storeLinks.forEach(link -> link.setMode(FaultyLink.Mode.CLEAR));
        endpointLinks.forEach(link -> link.setMode(FaultyLink.Mode.CLEAR));
        endpoints.forEach(endpoint -> endpoint.setDelayedShare(0));
        for (JvmProcess node : nodes) {
            if (node.isAlive()) {
                node.resume();
            }
        }
        startAllNodes();
    }

    /** Restarts an endpoint with a new id and removes the entry of the old one. */
    synchronized void restartEndpointWithNewId(int endpoint) {
        int index = endpoint % endpoints.size();
        restarts++;
        store.unregister(id(index));
        endpoints.get(index).restartWithId("i-" + index + "-" + restarts);
        register(index);
    }

    /** Restarts an endpoint with the same id; its entry names the new incarnation. */
    synchronized void restartEndpointWithSameId(int endpoint) {
        int index = endpoint % endpoints.size();
        endpoints.get(index).restartWithSameId();
        register(index);
    }

    /** Stores the next version of the configuration, with one more queue. */
    synchronized void changeConfiguration() {
        version += 2;
        String prefix = "/added-" + version + "/";
        String routes = Stream.concat(
                        Stream.of(QUEUE, prefix), addedQueues.stream().map(AddedQueue::prefix))
                .map(SoakCluster::route)
                .collect(Collectors.joining(","));
        store.configure("{\"Version\":" + version + ",\"Routes\":[" + routes + "]}");
        addedQueues.add(new AddedQueue(prefix, StandInEndpoint.clockMillis()));
    }

    /** Returns the most recently added queue. */
    synchronized AddedQueue newestQueue() {
        return addedQueues.get(addedQueues.size() - 1);
    }

    private static String route(String prefix) {
        return """
                {"Name":"q","Host":"127.0.0.1","Prefix":"%s","Service":"board",
                 "Attempts":3,"Stretch":1.6,"SloMs":200}""".formatted(prefix);
    }

    /** Returns the log of a node. */
    String log(int node) throws IOException {
        return Files.readString(folder.resolve("node-" + node + ".log"));
    }

    @Override
    public void close() throws IOException {
        killAllNodes();
        Runtime.getRuntime().removeShutdownHook(cleanUp);
        for (FaultyLink link : storeLinks) {
            link.close();
        }
        for (FaultyLink link : endpointLinks) {
            link.close();
        }
        endpoints.forEach(StandInEndpoint::close);
        store.close();
    }

    private String id(int endpoint) {
        String instanceId = endpoints.get(endpoint).instanceId();
        return instanceId.isEmpty() ? "i-" + endpoint : instanceId;
    }

    private void register(int endpoint) {
        String address = endpointLinks.get(endpoint).address();
        store.register(id(endpoint), endpoints.get(endpoint).entryWithStart("board", domain(endpoint), address));
    }

    private static String domain(int number) {
        return DOMAINS[number % DOMAINS.length];
    }

    /**
     * Returns an IP address that only this node uses. A fencing token consists of a term and the holder's address: two
     * nodes with one address that claim within the same tenth of a second get equal tokens, and an endpoint accepts
     * orders from both.
     */
    private static String address(int node) {
        return "127.0.0." + (FIRST_ADDRESS + node);
    }

    private JvmProcess launch(int node) throws IOException {
        Path file = folder.resolve("node-" + node + ".jsonc");
        NodePorts own = ports.get(node);
        Files.writeString(file, """
                { "node": "n%02d", "failure-domain": "%s", "failure-domains": {"%s": "r", "%s": "r"},
                  "ip": "%s",
                  "processor-share": 1.0, "processor-speed": 1,
                  "peer-port": %d, "metrics-port": %d, "client-address": "127.0.0.1:%d",
                  "readiness-address": "127.0.0.1:%d", "store-address": "%s",
                  "lease-millis": 1000, "stop-millis": 50, "shutdown-seconds": 6 }
                """.formatted(
                        node,
                        domain(node),
                        DOMAINS[0],
                        DOMAINS[1],
                        address(node),
                        own.peers(),
                        own.metrics(),
                        own.client(),
                        own.readiness(),
                        storeLinks.get(node).address()));
        return JvmProcess.start(folder, "node-" + node, NODE_MAIN, List.of(file.toString()));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /**
     * A queue added by a configuration change.
     *
     * @param prefix the path prefix of the queue
     * @param addedAtMillis the time when the store had the change, on this machine's monotonic clock
     */
    record AddedQueue(String prefix, long addedAtMillis) {}

    /** The ports of one node. */
    private record NodePorts(int peers, int metrics, int client, int readiness) {
        /**
         * The first port of a range below the ephemeral ports: an outgoing connection could otherwise take the port of
         * a node that is down, and the node could not be restarted.
         */
        private static final int FIRST_PORT = 20_000;

        private static final int PORTS = 12_000;

        private static final AtomicInteger NEXT = new AtomicInteger(new Random().nextInt(PORTS));

        static NodePorts free() throws IOException {
            return new NodePorts(freePort(), freePort(), freePort(), freePort());
        }

        private static int freePort() throws IOException {
            for (int attempt = 0; attempt < PORTS; attempt++) {
                int port = FIRST_PORT + NEXT.getAndIncrement() % PORTS;
                try (ServerSocket unused = new ServerSocket(port)) {
                    return port;
                } catch (BindException e) {
                    // The port is in use; the next one may be free.
                }
            }
            throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORTS - 1));
        }
    }
}
