package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies one task of a submission.
 *
 * @param submission the submission that the task belongs to
 * @param index the index of the task in the submission, from 0
 */
public record TaskId(SubmissionId submission, int index) {
    /** Checks that the submission is not null and the index not negative. */
    public TaskId {
        checkNotNull(submission, "submission");
        checkArgument(index >= 0, "index %s is negative", index);
    }

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is not an id
     */
    public static TaskId parse(String text) {
        int end = text.lastIndexOf('_');
        checkArgument(end > 0, "'%s' is not a task id", text);
        return new TaskId(SubmissionId.parse(text.substring(0, end)), Integer.parseInt(text.substring(end + 1)));
    }

    /** Returns the text form, {@code node_incarnation_sequence_index}. */
    @Override
    public String toString() {
        return submission + "_" + index;
    }
}
