package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Clock;
import java.util.Optional;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.ConfigurationRow;
import org.tarragonarch.platform.AuditRecord;
import org.tarragonarch.platform.ChangeJson;
import org.tarragonarch.platform.ConfigurationConflictException;
import org.tarragonarch.platform.ConfigurationStore;
import org.tarragonarch.platform.PlatformException;
import org.tarragonarch.settings.CatalogReader;
import org.tarragonarch.settings.Mistake;
import org.tarragonarch.settings.SettingsException;

/** Writes configuration changes to the platform and reads their history. All methods block. */
final class ConfigurationChanges {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int MAX_HISTORY = 1_000;

    private final ConfigurationStore store;
    private final Clock clock;

    ConfigurationChanges(ConfigurationStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
    }

    ObjectNode accept(
            OperatorName operator, ConfigurationVersion from, ChangeId change, String summary, byte[] canonical)
            throws AdminException {
        validate(from.next(), canonical);
        AuditRecord record = new AuditRecord(
                from.next(), from, ContentDigest.of(canonical), change, operator, clock.instant(), summary);
        try {
            ConfigurationRow row = store.accept(record, canonical);
            LOG.atInfo().log(
                    "%s",
                    LogLine.of("configuration-accepted", Step.CONFIGURE, operator.value())
                            .with("version", row.version())
                            .with("change", change)
                            .with("summary", summary));
            return ChangeJson.writeRow(row);
        } catch (ConfigurationConflictException e) {
            LOG.atInfo().log(
                    "%s",
                    LogLine.of("configuration-conflict", Step.CONFIGURE, operator.value())
                            .with("change", change)
                            .with("detail", e.getMessage()));
            throw conflict(e);
        } catch (PlatformException e) {
            throw unavailable(e, e.mayHaveApplied() ? "change-unsettled" : "platform-unavailable");
        }
    }

    ArrayNode history(int limit) throws AdminException {
        try {
            return ChangeJsonWriter.history(store.history(limit));
        } catch (PlatformException e) {
            throw unavailable(e, "platform-unavailable");
        }
    }

    /** Loads an earlier configuration by the digest in its audit record. */
    ObjectNode load(ConfigurationVersion version) throws AdminException {
        try {
            Optional<AuditRecord> found = store.history(MAX_HISTORY).stream()
                    .filter(record -> record.version().equals(version))
                    .findFirst();
            if (found.isEmpty()) {
                throw new AdminException(new AdminProblem(
                        AdminProblem.NOT_FOUND,
                        "unknown-version",
                        Step.CONFIGURE,
                        "table service",
                        "version " + version + " is not among the last " + MAX_HISTORY + " changes"));
            }
            ContentDigest digest = found.get().digest();
            return ChangeJsonWriter.configuration(version, digest, store.load(digest));
        } catch (PlatformException e) {
            throw unavailable(e, "platform-unavailable");
        }
    }

    private static void validate(ConfigurationVersion version, byte[] canonical) throws AdminException {
        try {
            CatalogReader.read(version, canonical);
        } catch (SettingsException e) {
            AdminProblem problem = new AdminProblem(
                    AdminProblem.BAD_REQUEST, "configuration-mistaken", e.step(), e.peer(), e.getMessage());
            ObjectNode json = problem.json();
            ImmutableList<Mistake> mistakes = e.mistakes();
            mistakes.forEach(mistake -> json.withArray("mistakes").add(mistake.toString()));
            throw new AdminException(problem, json);
        }
    }

    private static AdminException conflict(ConfigurationConflictException e) {
        AdminProblem problem =
                new AdminProblem(AdminProblem.CONFLICT, "configuration-conflict", e.step(), e.peer(), e.getMessage());
        ObjectNode json = problem.json();
        json.set("accepted", ChangeJson.writeRow(e.accepted()));
        return new AdminException(problem, json);
    }

    private static AdminException unavailable(PlatformException e, String code) {
        return new AdminException(new AdminProblem(AdminProblem.UNAVAILABLE, code, e.step(), e.peer(), e.getMessage()));
    }
}
