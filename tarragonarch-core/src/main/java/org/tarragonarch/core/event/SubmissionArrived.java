package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.IdempotencyKey;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;

/**
 * A caller whose token was checked sent a request or a job.
 *
 * @param id the id that the shell gave it; higher than all before it in this run
 * @param form request or job
 * @param caller who sent it
 * @param service the service called, which need not exist
 * @param kind the kind asked for, which need not exist
 * @param key the caller's idempotency key
 * @param content the digest of kind and bodies; compared when a key comes again
 * @param tasks the shape of each task; never empty
 * @param timeAllowed the time the caller allows, from now
 */
public record SubmissionArrived(
        SubmissionId id,
        SubmissionForm form,
        CallerName caller,
        ServiceName service,
        KindName kind,
        Optional<IdempotencyKey> key,
        ContentDigest content,
        ImmutableList<TaskShape> tasks,
        Optional<Duration> timeAllowed)
        implements Event {
    /** Checks the parts. */
    public SubmissionArrived {
        checkNotNull(id, "id");
        checkNotNull(form, "form");
        checkNotNull(caller, "caller");
        checkNotNull(service, "service");
        checkNotNull(kind, "kind");
        checkNotNull(key, "key");
        checkNotNull(content, "content");
        checkNotNull(tasks, "tasks");
        checkNotNull(timeAllowed, "timeAllowed");
    }
}
