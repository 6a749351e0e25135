package org.tarragonarch.ctl;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.platform.AuditRecord;

/** The accepted configurations that fake nodes share, in place of the platform. */
final class FakeSystem {
    static final String TOKEN = "a-secret-token";

    /** Whether nodes refuse changes because the store is unavailable. */
    volatile boolean storeUnavailable;

    private final List<AuditRecord> records = new ArrayList<>();
    private final List<String> texts = new ArrayList<>();

    synchronized int newest() {
        return records.size();
    }

    synchronized String text(int version) {
        return texts.get(version - 1);
    }

    synchronized List<AuditRecord> records() {
        return List.copyOf(records);
    }

    /** Accepts a change unless its id was accepted last; returns the version, or 0 for a conflict. */
    synchronized int accept(int from, String change, String summary, String text) {
        if (newest() > 0 && records.get(newest() - 1).change().value().equals(change)) {
            return newest();
        }
        if (from != newest()) {
            return 0;
        }
        texts.add(text);
        records.add(new AuditRecord(
                ConfigurationVersion.of(from + 1L),
                ConfigurationVersion.of(from),
                ContentDigest.of(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                new ChangeId(change),
                OperatorName.of("ann"),
                Instant.EPOCH,
                summary));
        return newest();
    }
}
