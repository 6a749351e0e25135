package org.tarragonarch.core.placing;

/**
 * Tracks whether endpoints report the progress of runs, so that a run without progress can be considered stalled.
 *
 * <p>Guards against endpoints that always list the same percentage: every healthy run on them would look stalled.
 */
final class ProgressReports {
    /** The number of progress increases after which reports are considered reliable. */
    private static final int ENOUGH_REPORTS = 20;

    private int advances;

    /** Records that a run was listed with more progress than before. */
    void recordAdvance() {
        advances++;
    }

    /** Returns whether healthy runs are known to report progress. */
    boolean areReliable() {
        return advances >= ENOUGH_REPORTS;
    }
}
