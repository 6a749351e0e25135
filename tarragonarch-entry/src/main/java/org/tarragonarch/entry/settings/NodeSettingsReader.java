package org.tarragonarch.entry.settings;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.entry.endpoint.EndpointLimits;
import org.tarragonarch.entry.http.HttpLimits;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Names;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.settings.MistakeCollector;
import org.tarragonarch.settings.SettingsException;
import org.tarragonarch.settings.SettingsObject;

/** Reads a node's settings file and names every mistake in it. */
public final class NodeSettingsReader {
    private static final String STAND_IN_NAME = "unnamed";
    private static final int SMALLEST_HEADERS = 1 << 10;
    private static final int LARGEST_HEADERS = 1 << 20;
    private static final int LARGEST_REQUEST = 256 << 20;
    private static final int MOST_CONNECTIONS = 1_000_000;

    private NodeSettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws SettingsException that names every mistake with its line and key
     * @throws IOException if the file cannot be read
     */
    public static NodeSettings read(Path file) throws SettingsException, IOException {
        return read(file.toString(), Files.readAllBytes(file));
    }

    /**
     * Reads the text of a file.
     *
     * @param name the name that mistakes carry
     * @param text the text in UTF-8
     * @throws SettingsException that names every mistake with its line and key
     */
    public static NodeSettings read(String name, byte[] text) throws SettingsException {
        MistakeCollector mistakes = new MistakeCollector();
        SettingsObject root = SettingsObject.parse(name, text, mistakes);
        mistakes.throwIfAny(name);
        NodeSettings settings = read(root);
        root.reportUnknownKeys();
        mistakes.throwIfAny(name);
        return settings;
    }

    private static NodeSettings read(SettingsObject root) {
        return new NodeSettings(
                NodeId.of(name(root, "node")),
                FailureDomain.of(name(root, "domain")),
                root.address("caller-address"),
                root.address("admin-address"),
                root.address("peer-address"),
                root.address("platform-address"),
                root.optionalObject("policy").map(NodeSettingsReader::policy).orElse(NodePolicy.DEFAULT),
                root.optionalObject("limits").map(NodeSettingsReader::limits).orElse(NodeLimits.DEFAULT),
                root.optionalText("trace-file").map(Path::of));
    }

    private static String name(SettingsObject root, String key) {
        String name = root.text(key);
        if (name.isEmpty()) {
            return STAND_IN_NAME;
        }
        if (!Names.wellFormed(name)) {
            root.addMistake(key, "'" + name + "' is not 1 to 64 of a-z, 0-9, '.' and '-', a letter or digit first");
            return STAND_IN_NAME;
        }
        return name;
    }

    private static NodePolicy policy(SettingsObject policy) {
        NodePolicy standard = NodePolicy.DEFAULT;
        NodePolicy read = new NodePolicy(
                positive(policy, "vm-list-interval", standard.vmListInterval()),
                positive(policy, "configuration-interval", standard.configurationInterval()),
                positive(policy, "report-interval", standard.reportInterval()),
                positive(policy, "peer-silence", standard.peerSilence()),
                positive(policy, "claim-timeout", standard.claimTimeout()),
                positive(policy, "kept-answer", standard.keptAnswer()),
                policy.integer("max-kept-answers", 0, Integer.MAX_VALUE, standard.maxKeptAnswers()),
                policy.duration("drain-delay", standard.drainDelay()),
                positive(policy, "drain-deadline", standard.drainDeadline()),
                policy.choice(
                        "placement",
                        ImmutableList.copyOf(PlacementStrategy.values()),
                        PlacementStrategy::word,
                        Optional.of(standard.placement())));
        policy.reportUnknownKeys();
        return read;
    }

    private static NodeLimits limits(SettingsObject limits) {
        HttpLimits http = HttpLimits.DEFAULT;
        EndpointLimits endpoints = EndpointLimits.DEFAULT;
        NodeLimits read = new NodeLimits(
                new HttpLimits(
                        limits.integer("max-request-bytes", 1, LARGEST_REQUEST, http.maxRequestBytes()),
                        limits.integer("max-header-bytes", SMALLEST_HEADERS, LARGEST_HEADERS, http.maxHeaderBytes()),
                        limits.integer("max-connections", 1, MOST_CONNECTIONS, http.maxConnections()),
                        positive(limits, "idle-timeout", http.idleTimeout()),
                        positive(limits, "receive-timeout", http.receiveTimeout()),
                        positive(limits, "send-timeout", http.sendTimeout())),
                new EndpointLimits(
                        limits.integer("max-exchanges", 1, MOST_CONNECTIONS, endpoints.maxExchanges()),
                        limits.integer("max-idle-connections", 1, MOST_CONNECTIONS, endpoints.maxIdleConnections()),
                        limits.longInteger("max-result-bytes", 1, LARGEST_REQUEST, endpoints.maxResultBytes())),
                limits.longInteger("max-stored-bytes", 1, Long.MAX_VALUE, NodeLimits.DEFAULT.maxBodyBytes()),
                positive(limits, "platform-timeout", NodeLimits.DEFAULT.platformTimeout()));
        limits.reportUnknownKeys();
        return read;
    }

    // Zero is recorded as a mistake and read as zero, which the records would refuse with an error of their own.
    private static Duration positive(SettingsObject object, String key, Duration standard) {
        return Optional.of(object.positiveDuration(key, standard))
                .filter(duration -> !duration.isZero())
                .orElse(standard);
    }
}
