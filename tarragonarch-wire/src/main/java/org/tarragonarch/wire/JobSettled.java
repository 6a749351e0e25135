package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobVerdict;

/**
 * The response to a {@link JobOffered}.
 *
 * @param verdict the holder's verdict
 */
public record JobSettled(JobVerdict verdict) implements Frame {
    /** Checks that the verdict is not null. */
    public JobSettled {
        checkNotNull(verdict, "verdict");
    }
}
