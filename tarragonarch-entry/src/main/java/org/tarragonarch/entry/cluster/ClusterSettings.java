package org.tarragonarch.entry.cluster;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.share.SharePlan;

/**
 * The settings of one node, read from a JSON file with comments.
 *
 * @param node this node's name
 * @param domain the failure domain of this node
 * @param regions the region of every failure domain
 * @param ip this VM's IP address
 * @param processorShare the fraction of a core that the process may use
 * @param processorSpeed the speed of that core relative to an ordinary core
 * @param peerPort the port for connections from peers; the same on every VM
 * @param metricsPort the port of the metrics page
 * @param clientAddress the listening address for clients
 * @param readinessAddress the listening address for the balancer's readiness checks
 * @param storeAddress the address of the platform's store
 * @param leaseMillis the longest lease that endpoints grant
 * @param stopMillis the longest time that an endpoint takes to stop a run
 * @param configurationMillis the time within which a confirmed configuration change must be in force
 * @param cancelledMillis how long a cancelled job stays cancelled, so that its submission does not run it
 * @param shutdownMillis the time after a stop request at which the process is killed
 * @param shares the shares by which holders divide capacity among priorities
 */
record ClusterSettings(
        NodeId node,
        FailureDomain domain,
        ImmutableMap<FailureDomain, Region> regions,
        String ip,
        double processorShare,
        double processorSpeed,
        int peerPort,
        int metricsPort,
        Address clientAddress,
        Address readinessAddress,
        Address storeAddress,
        long leaseMillis,
        long stopMillis,
        long configurationMillis,
        long cancelledMillis,
        long shutdownMillis,
        SharePlan shares) {
    /** The default time within which a configuration change is in force. */
    private static final long DEFAULT_CONFIGURATION_MILLIS = 2_000;

    /** The default time for which a cancelled job stays cancelled. */
    private static final long DEFAULT_CANCELLED_SECONDS = 120;

    /** About ten round trips to the store; a shorter time leaves none for a waiting call. */
    private static final long MIN_CONFIGURATION_MILLIS = 100;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int MILLI_CORES_PER_CORE = 1_000;

    /** Returns the processor capacity that this node may use, in thousandths of an ordinary core; at least 1. */
    int milliCores() {
        return (int) Math.max(1, Math.round(processorShare * processorSpeed * MILLI_CORES_PER_CORE));
    }

    /** Returns the description of this node that its peers see. */
    Member member() {
        return new Member(node, domain, peerAddress(), milliCores());
    }

    Address peerAddress() {
        return new Address(ip, peerPort);
    }

    /**
     * Reads a settings file.
     *
     * @throws StepException if it cannot be read, or a value is missing or malformed
     */
    static ClusterSettings read(Path file) throws StepException {
        Reader reader = new Reader();
        try (JsonParser parser =
                new JsonFactory().enable(JsonParser.Feature.ALLOW_COMMENTS).createParser(Files.readAllBytes(file))) {
            reader.read(parser);
            return reader.settings();
        } catch (IOException e) {
            throw new StepException(Step.LIFECYCLE, file.toString(), "unreadable settings: " + e.getMessage(), e);
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new StepException(Step.LIFECYCLE, file.toString(), "wrong settings: " + e.getMessage(), e);
        }
    }

    /** Collects the values of a file. Rejects unknown keys, which are most likely misspelt. */
    private static final class Reader {
        private String node = "";
        private String domain = "";
        private final ImmutableMap.Builder<FailureDomain, Region> regions = ImmutableMap.builder();
        private String ip = "";
        private double processorShare;
        private double processorSpeed;
        private int peerPort;
        private int metricsPort;
        private String clientAddress = "";
        private String readinessAddress = "";
        private String storeAddress = "";
        private long leaseMillis;
        private long stopMillis;
        private long configurationMillis = DEFAULT_CONFIGURATION_MILLIS;
        private long cancelledSeconds = DEFAULT_CANCELLED_SECONDS;
        private long shutdownSeconds;
        private SharePlan shares = SharePlan.NONE;

        void read(JsonParser parser) throws IOException {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String key = parser.currentName();
                parser.nextToken();
                readMember(key, parser);
            }
        }

        private void readMember(String key, JsonParser parser) throws IOException {
            switch (key) {
                case "node" -> node = parser.getText();
                case "failure-domain" -> domain = parser.getText();
                case "failure-domains" -> {
                    while (parser.nextToken() != JsonToken.END_OBJECT) {
                        FailureDomain name = FailureDomain.of(parser.currentName());
                        regions.put(name, Region.of(parser.nextTextValue()));
                    }
                }
                case "ip" -> ip = parser.getText();
                case "processor-share" -> processorShare = parser.getDoubleValue();
                case "processor-speed" -> processorSpeed = parser.getDoubleValue();
                case "peer-port" -> peerPort = parser.getIntValue();
                case "metrics-port" -> metricsPort = parser.getIntValue();
                case "client-address" -> clientAddress = parser.getText();
                case "readiness-address" -> readinessAddress = parser.getText();
                case "store-address" -> storeAddress = parser.getText();
                case "lease-millis" -> leaseMillis = parser.getLongValue();
                case "stop-millis" -> stopMillis = parser.getLongValue();
                case "configuration-millis" -> configurationMillis = parser.getLongValue();
                case "cancelled-seconds" -> cancelledSeconds = parser.getLongValue();
                case "shares" -> shares = ShareSettingsReader.read(parser);
                case "shutdown-seconds" -> shutdownSeconds = parser.getLongValue();
                default -> throw new IOException("unknown key '" + key + "'");
            }
        }

        ClusterSettings settings() {
            return new ClusterSettings(
                    NodeId.of(node),
                    FailureDomain.of(domain),
                    regions.buildOrThrow(),
                    ip,
                    positive("processor-share", processorShare),
                    positive("processor-speed", processorSpeed),
                    peerPort,
                    metricsPort,
                    Address.parse(clientAddress),
                    Address.parse(readinessAddress),
                    Address.parse(storeAddress),
                    positive("lease-millis", leaseMillis),
                    positive("stop-millis", stopMillis),
                    atLeast(MIN_CONFIGURATION_MILLIS, "configuration-millis", configurationMillis),
                    positive("cancelled-seconds", cancelledSeconds) * MILLIS_PER_SECOND,
                    positive("shutdown-seconds", shutdownSeconds) * MILLIS_PER_SECOND,
                    shares);
        }

        private static long atLeast(long minimum, String key, long value) {
            checkArgument(value >= minimum, "'%s' is below %s", key, minimum);
            return value;
        }

        private static long positive(String key, long value) {
            checkArgument(value > 0, "'%s' is missing or not positive", key);
            return value;
        }

        private static double positive(String key, double value) {
            checkArgument(value > 0, "'%s' is missing or not positive", key);
            return value;
        }
    }
}
