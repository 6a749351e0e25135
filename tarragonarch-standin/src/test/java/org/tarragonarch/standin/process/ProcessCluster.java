package org.tarragonarch.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.PlatformClient;
import org.tarragonarch.platform.VmRecordJson;
import org.tarragonarch.settings.CheckedConfiguration;
import org.tarragonarch.settings.ConfigurationFolder;
import org.tarragonarch.standin.StandInControl;

/** One failure domain on loopback: a stand-in platform, stand-in endpoints and entry nodes, each a process. */
final class ProcessCluster implements AutoCloseable {
    static final Duration DEADLINE = Duration.ofSeconds(20);

    private static final String MAIN_PACKAGE = "org.tarragonarch.standin.";
    private static final String DOMAIN = "hobart";
    private static final int MAX_ATTEMPTS = 3;

    private final Ports ports = new Ports();
    private final Path folder;
    private final List<JvmProcess> processes = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<EndpointProcess> endpoints = new ArrayList<>();
    private final Thread cleanUp = new Thread(this::killAll);
    private final Caller caller = new Caller();
    private Address platformAddress;
    private StandInControl platform;

    private ProcessCluster(Path folder) {
        this.folder = folder;
        // Kills the processes even if the test JVM is terminated.
        Runtime.getRuntime().addShutdownHook(cleanUp);
    }

    /** Starts a cluster and waits until every node is ready and knows every endpoint. */
    static ProcessCluster start(int nodes, int endpoints, int slots) throws Exception {
        ProcessCluster cluster = new ProcessCluster(Files.createTempDirectory("tarragonarch-test"));
        try {
            cluster.startPlatform();
            cluster.acceptConfiguration();
            cluster.startEndpoints(endpoints, slots);
            cluster.startNodes(nodes);
            cluster.awaitEndpointsKnown();
            return cluster;
        } catch (Exception | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    NodeProcess node(int index) {
        return nodes.get(index);
    }

    EndpointProcess endpoint(int index) {
        return endpoints.get(index);
    }

    /** Restarts a node whose process has ended, on the same addresses, and waits until it knows every endpoint. */
    void restartNode(int index) throws Exception {
        NodeProcess old = nodes.get(index);
        JvmProcess process = launchNode(old.name());
        NodeProcess restarted = new NodeProcess(old.name(), process, old.caller(), old.admin());
        if (!awaitReady(restarted, MAX_ATTEMPTS)) {
            throw new AssertionError(old.name() + " cannot be restarted: " + process.output());
        }
        nodes.set(index, restarted);
        awaitEndpointsKnown();
    }

    StandInControl platform() {
        return platform;
    }

    Caller caller() {
        return caller;
    }

    /** Returns the starts in the ledgers of all running endpoints. */
    List<JsonNode> starts() {
        List<JsonNode> starts = new ArrayList<>();
        for (EndpointProcess endpoint : endpoints) {
            try {
                endpoint.control().get("/ledger").path("starts").forEach(starts::add);
            } catch (Exception e) {
                // The ledger of a stopped endpoint is not available; tests read it before they stop the endpoint.
                if (endpoint.process().isAlive()) {
                    throw new AssertionError("the ledger of " + endpoint.name() + " cannot be read", e);
                }
            }
        }
        return starts;
    }

    void awaitTagsStarted(String... tags) throws InterruptedException {
        List<String> wanted = List.of(tags);
        Await.until(
                "starts of " + wanted,
                DEADLINE,
                () -> startsByTag(starts()).keySet().containsAll(wanted));
    }

    void awaitStartCount(int count) throws InterruptedException {
        Await.until(count + " starts", DEADLINE, () -> starts().size() >= count);
    }

    /** Returns the number of starts for each tag. */
    static Map<String, Integer> startsByTag(List<JsonNode> starts) {
        Map<String, Integer> counts = new HashMap<>();
        starts.forEach(start -> counts.merge(start.path("tag").asText(), 1, Integer::sum));
        return counts;
    }

    @Override
    public void close() throws IOException {
        killAll();
        Runtime.getRuntime().removeShutdownHook(cleanUp);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private synchronized void killAll() {
        processes.forEach(JvmProcess::kill);
    }

    private void startPlatform() throws Exception {
        for (int attempt = 1; platform == null; attempt++) {
            Address address = ports.nextAddress();
            JvmProcess process = launch("platform", "PlatformMain", List.of("--address", address.toString()));
            StandInControl control = StandInControl.of(address);
            if (awaitAnswering(process, attempt, () -> control.get("/vms").has("vms"))) {
                platformAddress = address;
                platform = control;
            }
        }
    }

    private void startEndpoints(int count, int slots) throws Exception {
        List<EndpointProcess> started = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            started.add(startEndpoint("hobart-w" + i, slots));
        }
        for (EndpointProcess endpoint : started) {
            EndpointProcess current = endpoint;
            for (int attempt = 1; !awaitAnswering(current, attempt); attempt++) {
                current = startEndpoint(endpoint.name(), slots);
            }
            endpoints.add(current);
        }
    }

    private EndpointProcess startEndpoint(String name, int slots) throws Exception {
        Address address = ports.nextAddress();
        JvmProcess process = launch(
                name,
                "EndpointMain",
                List.of(
                        "--name",
                        name,
                        "--domain",
                        DOMAIN,
                        "--address",
                        address.toString(),
                        "--platform",
                        platformAddress.toString(),
                        "--services",
                        Caller.SERVICE,
                        "--slots",
                        Integer.toString(slots)));
        return new EndpointProcess(name, process, StandInControl.of(address));
    }

    private boolean awaitAnswering(EndpointProcess endpoint, int attempt) throws Exception {
        return awaitAnswering(
                endpoint.process(),
                attempt,
                () -> endpoint.control().get("/health").has("state"));
    }

    private void startNodes(int count) throws Exception {
        List<NodeProcess> started = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            started.add(startNode("hobart-" + i));
        }
        for (NodeProcess node : started) {
            NodeProcess current = node;
            for (int attempt = 1; !awaitReady(current, attempt); attempt++) {
                current = startNode(node.name());
            }
            nodes.add(current);
        }
    }

    private boolean awaitReady(NodeProcess node, int attempt) throws Exception {
        return awaitAnswering(node.process(), attempt, () -> caller.isReady(node));
    }

    /** Starts a node and adds it to the platform's VM list, as the platform does for a new VM. */
    private NodeProcess startNode(String name) throws Exception {
        Address callerAddress = ports.nextAddress();
        Address adminAddress = ports.nextAddress();
        Address peerAddress = ports.nextAddress();
        Files.writeString(
                settings(name), """
                { "node": "%s", "domain": "%s", "caller-address": "%s", "admin-address": "%s",
                  "peer-address": "%s", "platform-address": "%s",
                  "policy": { "vm-list-interval": "200ms", "configuration-interval": "500ms", "drain-delay": "500ms" },
                  "limits": { "platform-timeout": "1s" } }
                """.formatted(name, DOMAIN, callerAddress, adminAddress, peerAddress, platformAddress));
        VmRecord vm = new VmRecord(
                name, VmRole.ENTRY, FailureDomain.of(DOMAIN), peerAddress, VmState.LIVE, ImmutableSet.of(), 0);
        platform.post("/vms", VmRecordJson.write(vm).toString());
        return new NodeProcess(name, launchNode(name), callerAddress, adminAddress);
    }

    private JvmProcess launchNode(String name) throws IOException {
        List<String> arguments = List.of("--settings", settings(name).toString());
        return launchMain(name, "org.tarragonarch.entry.EntryMain", arguments);
    }

    private Path settings(String nodeName) {
        return folder.resolve(nodeName + ".json");
    }

    /** Waits until every node has read the current VM list, so that it can use the slots of all endpoints. */
    private void awaitEndpointsKnown() throws InterruptedException {
        for (NodeProcess node : nodes) {
            StandInControl admin = StandInControl.of(node.admin());
            Await.until(
                    node.name() + " to know its endpoints",
                    DEADLINE,
                    () -> endpoints.stream().allMatch(endpoint -> knows(admin, endpoint)));
        }
    }

    private static boolean knows(StandInControl admin, EndpointProcess endpoint) {
        try {
            return admin.get("/admin/endpoints", TestConfiguration.OPERATOR_TOKEN)
                    .toString()
                    .contains(endpoint.name());
        } catch (Exception e) {
            return false;
        }
    }

    /**
     * Waits until a process answers. Returns false if the process ended because its port was taken.
     *
     * @throws AssertionError if the process ended for another reason, or its port was taken on the last attempt
     */
    private static boolean awaitAnswering(JvmProcess process, int attempt, Probe probe) throws Exception {
        Await.until("a process to answer", DEADLINE, () -> !process.isAlive() || probe.answers());
        if (process.isAlive()) {
            return true;
        }
        boolean portTaken = process.output().contains("Address already in use");
        if (!portTaken || attempt >= MAX_ATTEMPTS) {
            throw new AssertionError("a process failed to start: " + process.output());
        }
        return false;
    }

    private JvmProcess launch(String name, String mainClass, List<String> arguments) throws IOException {
        return launchMain(name, MAIN_PACKAGE + mainClass, arguments);
    }

    private synchronized JvmProcess launchMain(String name, String mainClass, List<String> arguments)
            throws IOException {
        JvmProcess process = JvmProcess.start(folder, name, mainClass, arguments);
        processes.add(process);
        return process;
    }

    private void acceptConfiguration() throws Exception {
        Path configuration = Files.createDirectory(folder.resolve("configuration"));
        Path file = configuration.resolve("00-base.json");
        Files.writeString(file, TestConfiguration.text());
        CheckedConfiguration checked = ConfigurationFolder.read(configuration);
        Files.delete(file);
        Files.delete(configuration);
        AuditRecord record = new AuditRecord(
                ConfigurationVersion.of(1),
                ConfigurationVersion.NONE,
                ContentDigest.of(checked.canonical()),
                new ChangeId("test"),
                OperatorName.of("ann"),
                Instant.now(),
                "the test's configuration");
        try (PlatformClient client = PlatformClient.create(platformAddress, Duration.ofSeconds(5))) {
            client.configurationStore().accept(record, checked.canonical());
        }
    }

    /** A check whether a process answers. */
    @FunctionalInterface
    private interface Probe {
        boolean answers() throws Exception;
    }
}
