package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Verdict;

/** Sends the verdicts on jobs of which a holder has started nothing. */
final class JobRefusals {
    /** The retry time where no endpoint can take the job: about the duration of a takeover or a restart. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

    private final PlacerListener listener;

    JobRefusals(PlacerListener listener) {
        this.listener = listener;
    }

    /** Settles a job that is not admitted; only one whose terms allow it to wait counts as declined. */
    void refuse(PlacedJob job, CompletionEstimate estimate) {
        Verdict verdict = job.offer().terms().refusal();
        if (verdict == Verdict.DECLINED) {
            decline(job, estimate);
        } else {
            listener.settled(job.origin(), job.id(), verdict, 0);
        }
    }

    /** Declines a job that may be submitted again once there is room. */
    void decline(PlacedJob job, CompletionEstimate estimate) {
        decline(job, estimate, estimate.taskSlots() == 0 ? NO_ENDPOINT_RETRY_MILLIS : estimate.waitMillis());
    }

    /** Declines a job that has waited for too long. */
    void declineExpired(PlacedJob job, CompletionEstimate estimate) {
        decline(job, estimate, estimate.share().isPresent() ? estimate.waitMillis() : 0);
    }

    private void decline(PlacedJob job, CompletionEstimate estimate, long retryMillis) {
        listener.declined(job.origin(), job.id(), estimate);
        listener.settled(job.origin(), job.id(), Verdict.DECLINED, retryMillis);
    }
}
