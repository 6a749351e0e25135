package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One incarnation of an endpoint; an endpoint that restarts under the same id is a new incarnation.
 *
 * @param id the endpoint's id
 * @param startedMillis the start time in milliseconds since 1970; {@value #UNKNOWN_START} if unknown
 */
public record EndpointIncarnation(EndpointId id, long startedMillis) {
    /** The start time of an incarnation whose entry and lists do not contain it. */
    public static final long UNKNOWN_START = 0;

    /** Checks that the id is not null and the start time not negative. */
    public EndpointIncarnation {
        checkNotNull(id, "id");
        checkArgument(startedMillis >= 0, "startedMillis %s is negative", startedMillis);
    }

    /** Returns the incarnation of an endpoint whose start time is unknown. */
    public static EndpointIncarnation ofUnknownStart(EndpointId id) {
        return new EndpointIncarnation(id, UNKNOWN_START);
    }

    /** Returns the incarnation of the same endpoint with this start time, in milliseconds since 1970. */
    public EndpointIncarnation withStart(long millis) {
        return new EndpointIncarnation(id, millis);
    }

    /** Returns whether the start time is known. */
    public boolean hasStart() {
        return startedMillis != UNKNOWN_START;
    }

    /** Returns whether this incarnation started after the other; false if either start time is unknown. */
    public boolean isLaterThan(EndpointIncarnation other) {
        return hasStart() && other.hasStart() && startedMillis > other.startedMillis;
    }

    @Override
    public String toString() {
        return hasStart() ? id + "@" + startedMillis : id.value();
    }
}
