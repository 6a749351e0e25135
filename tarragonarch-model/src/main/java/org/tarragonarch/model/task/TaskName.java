package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The name of a task on an endpoint: the job, its occurrence, the step and the position within the step.
 *
 * @param text the four parts joined by dots, as endpoints list it
 */
public record TaskName(String text) {
    /** Checks that the text is not null. */
    public TaskName {
        checkNotNull(text, "text");
    }

    /** Returns the name of a task of a job that runs once. */
    public static TaskName of(JobId job, int step, int index) {
        return new TaskName(job.value() + ".0." + step + "." + index);
    }

    /** Returns whether the task belongs to the job. */
    public boolean belongsTo(JobId job) {
        int idLength = job.value().length();
        return text.length() > idLength && text.charAt(idLength) == '.' && text.startsWith(job.value());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskName that && text.equals(that.text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    @Override
    public String toString() {
        return text;
    }
}
