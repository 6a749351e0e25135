package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One incarnation of an endpoint: what restarts under the same id is another one.
 *
 * @param id the endpoint's id
 * @param startedMillis when it started, in milliseconds since 1970; {@value #UNKNOWN_START} where that is unknown
 */
public record EndpointIncarnation(EndpointId id, long startedMillis) {
    /** The start of an incarnation whose entry and lists do not carry it. */
    public static final long UNKNOWN_START = 0;

    /** Checks the parts. */
    public EndpointIncarnation {
        checkNotNull(id, "id");
        checkArgument(startedMillis >= 0, "startedMillis %s is negative", startedMillis);
    }

    /** Returns the incarnation of an endpoint whose start is unknown. */
    public static EndpointIncarnation ofUnknownStart(EndpointId id) {
        return new EndpointIncarnation(id, UNKNOWN_START);
    }

    /** Returns the incarnation of the same endpoint with this start, in milliseconds since 1970. */
    public EndpointIncarnation withStart(long millis) {
        return new EndpointIncarnation(id, millis);
    }

    /** Returns whether it is known when it started. */
    public boolean hasStart() {
        return startedMillis != UNKNOWN_START;
    }

    /** Returns whether this incarnation has followed the other; an unknown start proves nothing. */
    public boolean isLaterThan(EndpointIncarnation other) {
        return hasStart() && other.hasStart() && startedMillis > other.startedMillis;
    }

    @Override
    public String toString() {
        return hasStart() ? id + "@" + startedMillis : id.value();
    }
}
