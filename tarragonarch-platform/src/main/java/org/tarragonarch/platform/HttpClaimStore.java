package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.platform.Claim;

/** Stores claims over HTTP, as rows of the table {@code claims} with one row per key. */
final class HttpClaimStore implements ClaimStore {
    private static final String TABLE = "claims";

    private final PlatformHttp http;

    HttpClaimStore(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public ImmutableMap<ClaimKey, Claim> insertIfAbsent(List<Claim> claims) throws PlatformException {
        if (claims.isEmpty()) {
            return ImmutableMap.of();
        }
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        ArrayNode rows = message.putArray("rows");
        for (Claim claim : claims) {
            rows.addObject().put("key", claim.key().toString()).set("value", ClaimJson.write(claim));
        }
        PlatformReply reply = http.post(PlatformPart.TABLES, http.url("tables", TABLE, "insert"), message);
        JsonNode results = readArray(reply, "results");
        if (results.size() != claims.size()) {
            throw reply.unusableBody(results.size() + " results for " + claims.size() + " rows", null);
        }
        ImmutableMap.Builder<ClaimKey, Claim> claimsByKey = ImmutableMap.builder();
        for (JsonNode result : results) {
            put(claimsByKey, reply, result.path("row"));
        }
        return claimsByKey.buildKeepingLast();
    }

    @Override
    public ImmutableMap<ClaimKey, Claim> read(ImmutableList<ClaimKey> keys) throws PlatformException {
        if (keys.isEmpty()) {
            return ImmutableMap.of();
        }
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        ArrayNode wanted = message.putArray("keys");
        keys.forEach(key -> wanted.add(key.toString()));
        PlatformReply reply = http.readByPost(PlatformPart.TABLES, http.url("tables", TABLE, "read"), message);
        ImmutableMap.Builder<ClaimKey, Claim> claimsByKey = ImmutableMap.builder();
        for (JsonNode row : readArray(reply, "rows")) {
            put(claimsByKey, reply, row);
        }
        return claimsByKey.buildKeepingLast();
    }

    @Override
    public void release(Claim claim) throws PlatformException {
        Transaction transaction =
                new Transaction().deleteIfValue(TABLE, claim.key().toString(), ClaimJson.write(claim));
        PlatformReply reply = http.post(PlatformPart.TABLES, http.url("transactions"), transaction.toJson());
        // A conflict means that the row is gone or holds another claim, so there is nothing left to release.
        if (reply.status() != PlatformHttp.OK && reply.status() != PlatformHttp.CONFLICT) {
            throw reply.unexpectedStatus();
        }
    }

    @Override
    public int sweep(Duration olderThan) throws PlatformException {
        ObjectNode message = JsonNodeFactory.instance.objectNode().put("older-than-ms", olderThan.toMillis());
        PlatformReply reply = http.post(PlatformPart.TABLES, http.url("tables", TABLE, "delete-older"), message);
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        JsonNode deleted = reply.json().path("deleted");
        if (!deleted.canConvertToInt()) {
            throw reply.unusableBody("field 'deleted' is missing or not an integer", null);
        }
        return deleted.intValue();
    }

    private static JsonNode readArray(PlatformReply reply, String field) throws PlatformException {
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        JsonNode results = reply.json().path(field);
        if (!results.isArray()) {
            throw reply.unusableBody("field '" + field + "' is missing or not an array", null);
        }
        return results;
    }

    private static void put(ImmutableMap.Builder<ClaimKey, Claim> claimsByKey, PlatformReply reply, JsonNode row)
            throws PlatformException {
        JsonNode value = TableRow.of(reply, row).value();
        try {
            Claim claim = ClaimJson.read(value);
            claimsByKey.put(claim.key(), claim);
        } catch (IllegalArgumentException e) {
            throw reply.unusableBody("a claim is malformed", e);
        }
    }
}
