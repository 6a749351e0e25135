package org.tarragonarch.core.placing;

/**
 * Tells whether endpoints report the progress of runs, so that a run without any can be taken for stalled.
 *
 * <p>Guards against endpoints that always list the same figure: every healthy run there would look stalled.
 */
final class ProgressReports {
    /** So many reports of progress are no accident. */
    private static final int ENOUGH_REPORTS = 20;

    private int advances;

    /** Notes that a run was listed with more of its work done than before. */
    void recordAdvance() {
        advances++;
    }

    /** Returns whether a healthy run shows progress. */
    boolean areReliable() {
        return advances >= ENOUGH_REPORTS;
    }
}
