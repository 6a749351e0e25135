package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Optional;
import okhttp3.HttpUrl;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.ConfigurationRow;

/**
 * The configuration as one row of the table {@code configuration}, texts as objects named by their digest, and the
 * audit trail as rows of the table {@code audit} in the order of their versions.
 */
final class HttpConfigurationStore implements ConfigurationStore {
    private static final String TABLE = "configuration";
    private static final String ROW = "current";
    private static final String AUDIT = "audit";
    private static final String OBJECT_PREFIX = "configuration-";
    private static final String OBJECT_SUFFIX = ".gz";
    private static final int VERSION_DIGITS = 19;

    /** How often the transaction is sent: once, again after a lost reply, and again after a stale read. */
    private static final int MAX_TRIES = 3;

    private final PlatformHttp http;

    HttpConfigurationStore(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public Optional<ConfigurationRow> readRow() throws PlatformException {
        return read().map(Standing::row);
    }

    @Override
    public byte[] load(ContentDigest digest) throws PlatformException {
        PlatformReply reply = http.get(PlatformPart.OBJECTS, objectUrl(digest));
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        byte[] text;
        try {
            text = CompressedText.decompress(reply.body());
        } catch (IOException e) {
            throw reply.unusableBody("the object is no compressed text", e);
        }
        if (!ContentDigest.of(text).equals(digest)) {
            throw reply.unusableBody("the object does not have the digest " + digest, null);
        }
        return text;
    }

    @Override
    public ConfigurationRow accept(AuditRecord record, byte[] canonical)
            throws ConfigurationConflictException, PlatformException {
        checkArgument(record.version().equals(record.from().next()), "version %s is no next one", record.version());
        checkArgument(ContentDigest.of(canonical).equals(record.digest()), "the digest is not the text's");
        storeObject(record.digest(), canonical);
        return replaceRow(record);
    }

    @Override
    public ImmutableList<AuditRecord> history(int limit) throws PlatformException {
        checkArgument(limit >= 0, "limit %s is negative", limit);
        HttpUrl url = http.url("tables", AUDIT, "rows")
                .newBuilder()
                .addQueryParameter("order", "descending")
                .addQueryParameter("limit", Integer.toString(limit))
                .build();
        PlatformReply reply = http.get(PlatformPart.TABLES, url);
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        ImmutableList.Builder<AuditRecord> records = ImmutableList.builder();
        for (JsonNode row : reply.json().path("rows")) {
            records.add(auditRecord(reply, row));
        }
        return records.build();
    }

    /** Stores the text; it is named by its digest, so that storing it twice changes nothing. */
    private void storeObject(ContentDigest digest, byte[] canonical) throws PlatformException {
        PlatformReply reply;
        try {
            reply = putObject(digest, canonical);
        } catch (PlatformException lost) {
            reply = putObjectAgain(digest, canonical);
        }
        boolean stored = reply.status() == PlatformHttp.CREATED || reply.status() == PlatformHttp.PRECONDITION_FAILED;
        if (!stored) {
            throw reply.unexpectedStatus();
        }
    }

    private PlatformReply putObject(ContentDigest digest, byte[] canonical) throws PlatformException {
        return http.putIfAbsent(PlatformPart.OBJECTS, objectUrl(digest), CompressedText.compress(canonical));
    }

    private PlatformReply putObjectAgain(ContentDigest digest, byte[] canonical) throws PlatformException {
        try {
            return putObject(digest, canonical);
        } catch (PlatformException e) {
            // No row names the object yet, so the change itself certainly was not accepted.
            throw new PlatformException(e.peer(), e.getMessage(), false, e);
        }
    }

    /**
     * Replaces the row by compare-and-set on its version.
     *
     * <p>A lost reply is settled by the change's mark. Where a reading shows neither our change nor another, the first
     * copy of the transaction may still be on its way; the same transaction is then sent again, which is safe since the
     * version lets only one of the copies through.
     */
    private ConfigurationRow replaceRow(AuditRecord record) throws ConfigurationConflictException, PlatformException {
        PlatformException lost = null;
        Optional<Standing> standing = readForWrite(null);
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            Optional<ConfigurationRow> settled = settle(record, standing, lost);
            if (settled.isPresent()) {
                return settled.get();
            }
            try {
                PlatformReply reply = http.post(
                        PlatformPart.TABLES,
                        http.url("transactions"),
                        transaction(record, standing).toJson());
                if (reply.status() == PlatformHttp.OK) {
                    return ChangeJson.rowOf(record);
                }
                if (reply.status() != PlatformHttp.CONFLICT) {
                    throw reply.unexpectedStatus();
                }
                // The row read before was stale or has been replaced since; the row of the conflict is the true one.
                standing = conflicting(reply, standing);
            } catch (PlatformException e) {
                if (!e.mayHaveApplied()) {
                    throw lost == null ? e : lost;
                }
                lost = e;
                standing = readForWrite(lost);
            }
        }
        Optional<ConfigurationRow> settled = settle(record, standing, lost);
        if (settled.isPresent()) {
            return settled.get();
        }
        throw lost != null
                ? lost
                : new PlatformException(
                        PlatformPart.TABLES.word(), "the row is read stale time after time", false, null);
    }

    /** Reads the row; a failure after a lost reply leaves open what became of the change. */
    private Optional<Standing> readForWrite(PlatformException lost) throws PlatformException {
        try {
            return read();
        } catch (PlatformException e) {
            throw lost == null ? e : lost;
        }
    }

    /** Returns the accepted row if the change stands, nothing if it may still be made. */
    private Optional<ConfigurationRow> settle(AuditRecord record, Optional<Standing> standing, PlatformException lost)
            throws ConfigurationConflictException, PlatformException {
        ConfigurationVersion current =
                standing.map(found -> found.row().version()).orElse(ConfigurationVersion.NONE);
        if (current.equals(record.from())) {
            return Optional.empty();
        }
        if (standing.isEmpty() || record.from().newerThan(current)) {
            throw lost != null
                    ? lost
                    : new PlatformException(
                            PlatformPart.TABLES.word(),
                            "the row has version " + current + ", older than " + record.from() + " to be replaced",
                            false,
                            null);
        }
        ConfigurationRow row = standing.get().row();
        ConfigurationRow first = row.version().equals(record.version()) ? row : made(record.version(), row, lost);
        if (first.change().equals(record.change())) {
            return Optional.of(first);
        }
        throw new ConfigurationConflictException(first);
    }

    /** Returns the change that made a version which others have replaced since. */
    private ConfigurationRow made(ConfigurationVersion version, ConfigurationRow newest, PlatformException lost)
            throws PlatformException {
        try {
            PlatformReply reply = http.get(PlatformPart.TABLES, http.url("tables", AUDIT, "rows", auditKey(version)));
            if (reply.status() == PlatformHttp.NOT_FOUND) {
                return newest;
            }
            return ChangeJson.rowOf(auditRecord(reply, reply.json()));
        } catch (PlatformException e) {
            throw lost == null ? e : lost;
        }
    }

    private static Transaction transaction(AuditRecord record, Optional<Standing> standing) {
        JsonNode value = ChangeJson.writeRow(ChangeJson.rowOf(record));
        Transaction transaction = new Transaction();
        if (standing.isPresent()) {
            transaction.replaceIfVersion(TABLE, ROW, standing.get().rowVersion(), value);
        } else {
            transaction.insertIfAbsent(TABLE, ROW, value);
        }
        return transaction.insertIfAbsent(AUDIT, auditKey(record.version()), ChangeJson.writeRecord(record));
    }

    private Optional<Standing> conflicting(PlatformReply reply, Optional<Standing> before) throws PlatformException {
        JsonNode row = reply.json().path("row");
        boolean ofConfiguration = reply.json().path("failed").asInt(-1) == 0;
        if (!ofConfiguration) {
            return before;
        }
        return row.isObject() ? Optional.of(Standing.of(reply, row)) : Optional.empty();
    }

    private Optional<Standing> read() throws PlatformException {
        PlatformReply reply = http.get(PlatformPart.TABLES, http.url("tables", TABLE, "rows", ROW));
        if (reply.status() == PlatformHttp.NOT_FOUND) {
            return Optional.empty();
        }
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        return Optional.of(Standing.of(reply, reply.json()));
    }

    private static AuditRecord auditRecord(PlatformReply reply, JsonNode json) throws PlatformException {
        JsonNode value = TableRow.of(reply, json).value();
        try {
            return ChangeJson.readRecord(value);
        } catch (IllegalArgumentException e) {
            throw reply.unusableBody("an audit record is malformed", e);
        }
    }

    private static String auditKey(ConfigurationVersion version) {
        return Strings.padStart(version.toString(), VERSION_DIGITS, '0');
    }

    private HttpUrl objectUrl(ContentDigest digest) {
        return http.url("objects", OBJECT_PREFIX + digest + OBJECT_SUFFIX);
    }

    /** The configuration row with the version by which the table service counts its writes. */
    private record Standing(long rowVersion, ConfigurationRow row) {
        static Standing of(PlatformReply reply, JsonNode json) throws PlatformException {
            TableRow row = TableRow.of(reply, json);
            try {
                return new Standing(row.version(), ChangeJson.readRow(row.value()));
            } catch (IllegalArgumentException e) {
                throw reply.unusableBody("the configuration row is malformed", e);
            }
        }
    }
}
