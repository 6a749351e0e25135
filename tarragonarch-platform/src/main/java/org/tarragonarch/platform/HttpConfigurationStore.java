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
 * Stores configurations over HTTP.
 *
 * <p>One row of the table {@code configuration} names the newest configuration. The text of each configuration is an
 * object named by its digest. The audit trail consists of rows of the table {@code audit}, ordered by version.
 */
final class HttpConfigurationStore implements ConfigurationStore {
    private static final String TABLE = "configuration";
    private static final String ROW = "current";
    private static final String AUDIT = "audit";
    private static final String OBJECT_PREFIX = "configuration-";
    private static final String OBJECT_SUFFIX = ".gz";
    private static final int VERSION_DIGITS = 19;

    /** The first attempt, one more after a lost reply and one more after a stale read. */
    private static final int MAX_ATTEMPTS = 3;

    private final PlatformHttp http;

    HttpConfigurationStore(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public Optional<ConfigurationRow> readRow() throws PlatformException {
        return read().map(StoredRow::row);
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
            throw reply.unusableBody("the object is not a compressed text", e);
        }
        if (!ContentDigest.of(text).equals(digest)) {
            throw reply.unusableBody("the object does not have the digest " + digest, null);
        }
        return text;
    }

    @Override
    public ConfigurationRow accept(AuditRecord record, byte[] canonical)
            throws ConfigurationConflictException, PlatformException {
        checkArgument(
                record.version().equals(record.from().next()), "version %s is not the next version", record.version());
        checkArgument(ContentDigest.of(canonical).equals(record.digest()), "the digest does not match the text");
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

    /** Stores the text under its digest, so that a second attempt has no further effect. */
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
            // No row refers to the object yet, so the change cannot have been accepted.
            throw new PlatformException(e.peer(), e.getMessage(), false, e);
        }
    }

    /**
     * Replaces the row by compare-and-set on its version.
     *
     * <p>After a lost reply, the row is read again and its change id shows whether this change was accepted. If the row
     * is unchanged, the lost transaction may still arrive. The same transaction is then sent again, which is safe
     * because the check of the version lets only one of the copies succeed.
     */
    private ConfigurationRow replaceRow(AuditRecord record) throws ConfigurationConflictException, PlatformException {
        PlatformException lost = null;
        Optional<StoredRow> stored = readForWrite(null);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Optional<ConfigurationRow> accepted = findAccepted(record, stored, lost);
            if (accepted.isPresent()) {
                return accepted.get();
            }
            try {
                PlatformReply reply = http.post(
                        PlatformPart.TABLES,
                        http.url("transactions"),
                        transaction(record, stored).toJson());
                if (reply.status() == PlatformHttp.OK) {
                    return ChangeJson.rowOf(record);
                }
                if (reply.status() != PlatformHttp.CONFLICT) {
                    throw reply.unexpectedStatus();
                }
                // The row read before was stale or has been replaced since; the conflict reply has the current one.
                stored = rowAfterConflict(reply, stored);
            } catch (PlatformException e) {
                if (!e.mayHaveApplied()) {
                    throw lost == null ? e : lost;
                }
                lost = e;
                stored = readForWrite(lost);
            }
        }
        Optional<ConfigurationRow> accepted = findAccepted(record, stored, lost);
        if (accepted.isPresent()) {
            return accepted.get();
        }
        throw lost != null
                ? lost
                : new PlatformException(
                        PlatformPart.TABLES.word(),
                        "every read of the configuration row returned a stale version",
                        false,
                        null);
    }

    /** Reads the row; if that fails after a lost reply, rethrows the loss, since the change may have been accepted. */
    private Optional<StoredRow> readForWrite(PlatformException lost) throws PlatformException {
        try {
            return read();
        } catch (PlatformException e) {
            throw lost == null ? e : lost;
        }
    }

    /**
     * Returns the accepted row if this change was accepted, or empty if the version to be replaced is still current.
     *
     * @throws ConfigurationConflictException if another change was accepted first
     * @throws PlatformException if the row read is older than the version to be replaced
     */
    private Optional<ConfigurationRow> findAccepted(
            AuditRecord record, Optional<StoredRow> stored, PlatformException lost)
            throws ConfigurationConflictException, PlatformException {
        ConfigurationVersion current =
                stored.map(found -> found.row().version()).orElse(ConfigurationVersion.NONE);
        if (current.equals(record.from())) {
            return Optional.empty();
        }
        if (stored.isEmpty() || record.from().isNewerThan(current)) {
            throw lost != null
                    ? lost
                    : new PlatformException(
                            PlatformPart.TABLES.word(),
                            "the row has version " + current + ", older than version " + record.from()
                                    + " to be replaced",
                            false,
                            null);
        }
        ConfigurationRow row = stored.get().row();
        ConfigurationRow first = row.version().equals(record.version()) ? row : acceptedAs(record.version(), row, lost);
        if (first.change().equals(record.change())) {
            return Optional.of(first);
        }
        throw new ConfigurationConflictException(first);
    }

    /** Returns the row accepted as the given version, or the newest row if the audit trail lacks that version. */
    private ConfigurationRow acceptedAs(ConfigurationVersion version, ConfigurationRow newest, PlatformException lost)
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

    private static Transaction transaction(AuditRecord record, Optional<StoredRow> stored) {
        JsonNode value = ChangeJson.writeRow(ChangeJson.rowOf(record));
        Transaction transaction = new Transaction();
        if (stored.isPresent()) {
            transaction.replaceIfVersion(TABLE, ROW, stored.get().rowVersion(), value);
        } else {
            transaction.insertIfAbsent(TABLE, ROW, value);
        }
        return transaction.insertIfAbsent(AUDIT, auditKey(record.version()), ChangeJson.writeRecord(record));
    }

    private Optional<StoredRow> rowAfterConflict(PlatformReply reply, Optional<StoredRow> before)
            throws PlatformException {
        JsonNode row = reply.json().path("row");
        boolean configurationRowFailed = reply.json().path("failed").asInt(-1) == 0;
        if (!configurationRowFailed) {
            return before;
        }
        return row.isObject() ? Optional.of(StoredRow.of(reply, row)) : Optional.empty();
    }

    private Optional<StoredRow> read() throws PlatformException {
        PlatformReply reply = http.get(PlatformPart.TABLES, http.url("tables", TABLE, "rows", ROW));
        if (reply.status() == PlatformHttp.NOT_FOUND) {
            return Optional.empty();
        }
        if (reply.status() != PlatformHttp.OK) {
            throw reply.unexpectedStatus();
        }
        return Optional.of(StoredRow.of(reply, reply.json()));
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

    /** The configuration row with the version that the table service gives it. */
    private record StoredRow(long rowVersion, ConfigurationRow row) {
        static StoredRow of(PlatformReply reply, JsonNode json) throws PlatformException {
            TableRow row = TableRow.of(reply, json);
            try {
                return new StoredRow(row.version(), ChangeJson.readRow(row.value()));
            } catch (IllegalArgumentException e) {
                throw reply.unusableBody("the configuration row is malformed", e);
            }
        }
    }
}
