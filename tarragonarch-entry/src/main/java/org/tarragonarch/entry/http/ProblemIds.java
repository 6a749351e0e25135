package org.tarragonarch.entry.http;

import java.util.Optional;

/**
 * The ids that a problem answer names.
 *
 * @param submission the submission's id, where it got one
 * @param request the caller's own text for the request, where it gave one
 */
public record ProblemIds(Optional<String> submission, Optional<String> request) {
    /** Names nothing. */
    public static final ProblemIds NONE = new ProblemIds(Optional.empty(), Optional.empty());
}
