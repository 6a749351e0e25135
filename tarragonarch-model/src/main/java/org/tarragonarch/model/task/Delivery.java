package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How an order is brought to an endpoint.
 *
 * @param answerWithinMillis how long the answer may take beyond what the order itself allows the endpoint to wait
 * @param newConnection whether a connection of its own is opened for it, because a kept one may be silent for good
 */
public record Delivery(long answerWithinMillis, boolean newConnection) {
    /** Checks that there is time for an answer. */
    public Delivery {
        checkArgument(answerWithinMillis > 0, "answerWithinMillis %s is not positive", answerWithinMillis);
    }

    /** Returns the delivery by a kept connection, if there is one. */
    public static Delivery within(long millis) {
        return new Delivery(millis, false);
    }

    /** Returns the delivery by a connection of its own. */
    public static Delivery newConnectionWithin(long millis) {
        return new Delivery(millis, true);
    }
}
