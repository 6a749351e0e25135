package org.tarragonarch.platform;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.platform.ConfigurationRow;

/**
 * The accepted configurations: immutable objects, one row that names the newest, and the audit trail.
 *
 * <p>Calls block for at most the client's timeout.
 */
public interface ConfigurationStore {
    /**
     * Reads the row that names the newest accepted configuration.
     *
     * @throws PlatformException if the row cannot be read
     */
    Optional<ConfigurationRow> readRow() throws PlatformException;

    /**
     * Loads the canonical text of a configuration and checks it against its digest.
     *
     * @throws PlatformException if it cannot be had whole
     */
    byte[] load(ContentDigest digest) throws PlatformException;

    /**
     * Accepts a configuration: stores its text, then replaces the row and adds the audit record in one transaction.
     *
     * <p>A reply that is lost is settled by reading the row back and comparing the change's mark, so that a change is
     * never reported as refused although it was accepted, nor made twice.
     *
     * @param record the change; its {@code from} must be the version in the row
     * @param canonical the text whose digest the record names
     * @return the row as accepted
     * @throws ConfigurationConflictException if another change was accepted first
     * @throws PlatformException if it cannot be said whether the change was accepted
     */
    ConfigurationRow accept(AuditRecord record, byte[] canonical)
            throws ConfigurationConflictException, PlatformException;

    /**
     * Reads the audit trail, the newest change first.
     *
     * @param limit the most records returned
     * @throws PlatformException if it cannot be read
     */
    ImmutableList<AuditRecord> history(int limit) throws PlatformException;
}
