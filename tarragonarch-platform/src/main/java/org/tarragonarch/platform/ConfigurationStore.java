package org.tarragonarch.platform;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.ConfigurationRow;

/**
 * The accepted configurations: their immutable texts, a row that names the newest, and the audit trail.
 *
 * <p>Calls block for at most the client's timeout.
 */
public interface ConfigurationStore {
    /**
     * Reads the row that names the newest accepted configuration.
     *
     * @return the row, or empty if no configuration has been accepted
     * @throws PlatformException if the row cannot be read
     */
    Optional<ConfigurationRow> readRow() throws PlatformException;

    /**
     * Loads the canonical text of a configuration and checks it against its digest.
     *
     * @throws PlatformException if the text cannot be loaded or does not match the digest
     */
    byte[] load(ContentDigest digest) throws PlatformException;

    /**
     * Accepts a configuration: stores its text, then replaces the row and adds the audit record in one transaction.
     *
     * <p>After a lost reply, the row is read again and its change id compared, so that an accepted change is neither
     * reported as refused nor made twice.
     *
     * @param record the change, whose {@code from} must be the version in the row
     * @param canonical the canonical text, whose digest must be that of the record
     * @return the row as accepted
     * @throws ConfigurationConflictException if another change was accepted first
     * @throws PlatformException if the change failed or its outcome is unknown; see
     *     {@link PlatformException#mayHaveApplied}
     */
    ConfigurationRow accept(AuditRecord record, byte[] canonical)
            throws ConfigurationConflictException, PlatformException;

    /**
     * Reads the audit trail, newest change first.
     *
     * @param limit the maximum number of records to return
     * @throws PlatformException if the audit trail cannot be read
     */
    ImmutableList<AuditRecord> history(int limit) throws PlatformException;
}
