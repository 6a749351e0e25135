package org.tarragonarch.entry.admin;

import io.jooby.Context;
import java.util.Optional;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.outcome.Step;

/**
 * The query parameters of a request that changes the configuration.
 *
 * @param from the version that the change is based on
 * @param change the unique id of the change, chosen by the client
 * @param summary the human-readable description; empty if none was given
 */
record ChangeParameters(ConfigurationVersion from, ChangeId change, String summary) {
    private static final int MAX_TEXT = 500;
    private static final int DEFAULT_LIMIT = 20;
    private static final int MAX_LIMIT = 1_000;

    static ChangeParameters of(Context context) throws AdminException {
        long from = number(context, "from", -1);
        if (from < 0) {
            throw malformed("'from' must be the version that the change is based on");
        }
        String change = text(context, "change");
        if (change.isEmpty()) {
            throw malformed("'change' must be a unique id of the change");
        }
        return new ChangeParameters(ConfigurationVersion.of(from), new ChangeId(change), text(context, "summary"));
    }

    /** Returns the requested version of the configuration; empty if it is absent or 0. */
    static Optional<ConfigurationVersion> version(Context context) throws AdminException {
        long version = number(context, "version", 0);
        if (version < 0) {
            throw malformed("'version' is negative");
        }
        return version == 0 ? Optional.empty() : Optional.of(ConfigurationVersion.of(version));
    }

    static int limit(Context context) throws AdminException {
        long limit = number(context, "limit", DEFAULT_LIMIT);
        if (limit < 1 || limit > MAX_LIMIT) {
            throw malformed("'limit' is not between 1 and " + MAX_LIMIT);
        }
        return (int) limit;
    }

    private static long number(Context context, String name, long defaultValue) throws AdminException {
        String text = context.query(name).value("");
        try {
            return text.isEmpty() ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw malformed("'" + name + "' is not a whole number");
        }
    }

    private static String text(Context context, String name) throws AdminException {
        String text = context.query(name).value("");
        if (text.length() > MAX_TEXT) {
            throw malformed("'" + name + "' is longer than " + MAX_TEXT + " characters");
        }
        return text;
    }

    private static AdminException malformed(String detail) {
        return new AdminException(
                new AdminProblem(AdminProblem.BAD_REQUEST, "malformed", Step.READ, "operator", detail));
    }
}
