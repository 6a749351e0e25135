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
 * An authenticated caller submitted a request or a job.
 *
 * @param id the id assigned by the shell; higher than all earlier ids of this incarnation
 * @param form request or job
 * @param caller the caller that sent it
 * @param service the requested service, which may not exist
 * @param kind the requested kind, which may not exist
 * @param key the idempotency key, if the caller sent one
 * @param content the digest of kind and bodies; compared when a key is used again
 * @param tasks the shape of each task; never empty
 * @param timeAllowed the time until the deadline, if the caller set one
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
    /** Creates an event. */
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
