package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies an offer among all offers of its origin.
 *
 * @param value a number that is higher for each later offer of the origin, also after a restart
 */
public record OfferNumber(long value) {
    /** Checks that the number is not negative. */
    public OfferNumber {
        checkArgument(value >= 0, "offer number %s is negative", value);
    }

    /** Returns the offer number with this value. */
    public static OfferNumber of(long value) {
        return new OfferNumber(value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
