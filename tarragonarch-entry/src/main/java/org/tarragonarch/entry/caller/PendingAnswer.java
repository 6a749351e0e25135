package org.tarragonarch.entry.caller;

import io.jooby.Context;
import java.util.Optional;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.CallerName;

/**
 * A caller who waits for an answer.
 *
 * @param context the exchange to answer
 * @param form request or job, which fixes the form of the answer
 * @param caller who waits
 * @param requestId the caller's own text for it
 * @param keyed whether the results are kept for a second caller under the same key
 * @param arrivedNanos when the submission was whole, by {@link System#nanoTime}
 */
record PendingAnswer(
        Context context,
        SubmissionForm form,
        CallerName caller,
        Optional<String> requestId,
        boolean keyed,
        long arrivedNanos) {}
