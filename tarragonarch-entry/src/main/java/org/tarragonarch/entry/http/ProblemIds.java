package org.tarragonarch.entry.http;

import java.util.Optional;

/**
 * The ids in a problem answer.
 *
 * @param submission the id of the submission, if it was assigned one
 * @param request the id that the caller gave the request, if any
 */
public record ProblemIds(Optional<String> submission, Optional<String> request) {
    /** No ids. */
    public static final ProblemIds NONE = new ProblemIds(Optional.empty(), Optional.empty());
}
