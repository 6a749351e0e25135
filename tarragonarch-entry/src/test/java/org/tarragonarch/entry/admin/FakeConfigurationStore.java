package org.tarragonarch.entry.admin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ConfigurationConflictException;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformException;

/** An in-memory configuration store that can be made unavailable. */
final class FakeConfigurationStore implements ConfigurationStore {
    private final List<AuditRecord> records = new ArrayList<>();
    private final Map<ContentDigest, byte[]> texts = new HashMap<>();
    private volatile boolean unavailable;

    void setUnavailable(boolean value) {
        unavailable = value;
    }

    @Override
    public synchronized Optional<ConfigurationRow> readRow() throws PlatformException {
        checkAvailable();
        return records.isEmpty() ? Optional.empty() : Optional.of(row(records.get(records.size() - 1)));
    }

    @Override
    public synchronized byte[] load(ContentDigest digest) throws PlatformException {
        checkAvailable();
        return texts.get(digest);
    }

    @Override
    public synchronized ConfigurationRow accept(AuditRecord record, byte[] canonical)
            throws ConfigurationConflictException, PlatformException {
        Optional<ConfigurationRow> now = readRow();
        if (now.isPresent() && !now.get().version().equals(record.from())) {
            throw new ConfigurationConflictException(now.get());
        }
        records.add(record);
        texts.put(record.digest(), canonical);
        return row(record);
    }

    @Override
    public synchronized ImmutableList<AuditRecord> history(int limit) throws PlatformException {
        checkAvailable();
        return ImmutableList.copyOf(records).reverse().subList(0, Math.min(limit, records.size()));
    }

    private void checkAvailable() throws PlatformException {
        if (unavailable) {
            throw new PlatformException("table service", "unavailable", false, null);
        }
    }

    private static ConfigurationRow row(AuditRecord record) {
        return new ConfigurationRow(
                record.version(), record.digest(), record.change(), record.operator(), record.when());
    }
}
