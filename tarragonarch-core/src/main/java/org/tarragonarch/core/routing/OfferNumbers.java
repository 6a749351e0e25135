package org.tarragonarch.core.routing;

import org.tarragonarch.model.task.OfferNumber;

/** Numbers the offers of one node; the numbers start at the time of day, so that they increase across restarts. */
final class OfferNumbers {
    /** More offers than a node makes in a millisecond. */
    private static final long NUMBERS_PER_MILLI = 1_000;

    private long last;

    /**
     * Creates a sequence whose numbers are higher than those of earlier ones.
     *
     * @param startMillis the time of day at the start of the node, in milliseconds since 1970
     */
    OfferNumbers(long startMillis) {
        this.last = startMillis * NUMBERS_PER_MILLI;
    }

    OfferNumber next() {
        last++;
        return OfferNumber.of(last);
    }
}
