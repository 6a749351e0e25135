package org.tarragonarch.entry.caller;

import io.jooby.Context;
import java.util.Optional;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.CallerName;

/**
 * A caller that waits for an answer.
 *
 * @param context the exchange to answer
 * @param form the form of the submission, which determines that of the answer
 * @param caller the name of the caller
 * @param requestId the caller's own id for the submission
 * @param keyed whether the submission has an idempotency key, so that its results are kept for repeated requests
 * @param arrivedNanos when the submission was received in full, by {@link System#nanoTime}
 */
record PendingAnswer(
        Context context,
        SubmissionForm form,
        CallerName caller,
        Optional<String> requestId,
        boolean keyed,
        long arrivedNanos) {}
