package org.tarragonarch.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.platform.AuditRecord;

/** Converts JSON answers of the administration API to views. */
final class AdminJson {
    private AdminJson() {}

    static NodeView node(Address address, JsonNode answer) throws AdminException {
        JsonReader json = new JsonReader(address, answer);
        return new NodeView(
                json.text("node"),
                json.text("domain"),
                json.text("phase"),
                ConfigurationVersion.of(json.number("configuration")),
                json.number("submissions"),
                json.list("endpoints", AdminJson::endpoint),
                json.list("peers", AdminJson::peer),
                json.list("queues", AdminJson::queue),
                json.list("quotas", AdminJson::quota));
    }

    static ConfigurationView configuration(Address address, JsonNode answer) throws AdminException {
        JsonReader json = new JsonReader(address, answer);
        ConfigurationVersion version = ConfigurationVersion.of(json.number("version"));
        byte[] canonical = json.text("canonical").getBytes(StandardCharsets.UTF_8);
        // Without this check, a rollback could apply a corrupted text.
        if (!ContentDigest.of(canonical).hex().equals(json.text("digest"))) {
            throw AdminException.unreadable(address, "the digest of version " + version + " does not match its text");
        }
        return new ConfigurationView(version, canonical);
    }

    static ConfigurationVersion version(Address address, JsonNode answer) throws AdminException {
        return ConfigurationVersion.of(new JsonReader(address, answer).number("version"));
    }

    static ImmutableList<AuditRecord> audit(Address address, JsonNode answer) throws AdminException {
        if (!answer.isArray()) {
            throw AdminException.unreadable(address, "the audit trail is not a list");
        }
        return JsonReader.items(address, answer, AdminJson::auditRecord);
    }

    private static AuditRecord auditRecord(JsonReader json) throws AdminException {
        try {
            return new AuditRecord(
                    ConfigurationVersion.of(json.number("version")),
                    ConfigurationVersion.of(json.number("from")),
                    new ContentDigest(json.text("digest")),
                    new ChangeId(json.text("change")),
                    OperatorName.of(json.text("operator")),
                    Instant.parse(json.text("when")),
                    json.text("summary"));
        } catch (IllegalArgumentException | DateTimeException e) {
            throw json.invalidField("audit", "an audit record: " + e.getMessage());
        }
    }

    private static EndpointView endpoint(JsonReader json) throws AdminException {
        return new EndpointView(
                json.text("endpoint"),
                json.text("domain"),
                json.text("address"),
                json.number("slots"),
                json.number("in-flight"),
                json.text("health"),
                json.text("why"));
    }

    private static PeerView peer(JsonReader json) throws AdminException {
        return new PeerView(
                json.text("node"),
                json.text("domain"),
                json.bool("alive"),
                json.text("phase"),
                ConfigurationVersion.of(json.number("configuration")));
    }

    private static QueueView queue(JsonReader json) throws AdminException {
        return new QueueView(
                json.text("service"), json.text("team"), json.number("queued-tasks"), json.number("running-tasks"));
    }

    private static QuotaView quota(JsonReader json) throws AdminException {
        return new QuotaView(json.text("team"), json.number("running"), json.number("share"), json.number("quota"));
    }
}
