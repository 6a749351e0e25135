package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.Claim;

/** Converts claims to and from the JSON values of rows. */
final class ClaimJson {
    private ClaimJson() {}

    static ObjectNode write(Claim claim) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("service", claim.key().service().value())
                .put("caller", claim.key().caller().value())
                .put("key", claim.key().key().value())
                .put("token", claim.token().value())
                .put("node", claim.node().value())
                .put("incarnation", claim.incarnation().value())
                .put("content", claim.content().hex());
    }

    /**
     * Reads a claim.
     *
     * @throws IllegalArgumentException if the value is not a claim
     */
    static Claim read(JsonNode json) {
        ClaimKey key = new ClaimKey(
                ServiceName.of(JsonFields.text(json, "service")),
                CallerName.of(JsonFields.text(json, "caller")),
                new IdempotencyKey(JsonFields.text(json, "key")));
        return new Claim(
                key,
                new ClaimToken(JsonFields.text(json, "token")),
                NodeId.of(JsonFields.text(json, "node")),
                Incarnation.of(JsonFields.number(json, "incarnation")),
                new ContentDigest(JsonFields.text(json, "content")));
    }
}
