package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How an order is sent to an endpoint.
 *
 * @param answerWithinMillis the timeout of the answer, in addition to the time that the order lets the endpoint wait
 * @param newConnection whether to open a new connection for the order, because a kept one may be silent for good
 */
public record Delivery(long answerWithinMillis, boolean newConnection) {
    /** Checks that the timeout is positive. */
    public Delivery {
        checkArgument(answerWithinMillis > 0, "answerWithinMillis %s is not positive", answerWithinMillis);
    }

    /** Returns a delivery that uses a kept connection, if there is one. */
    public static Delivery within(long millis) {
        return new Delivery(millis, false);
    }

    /** Returns a delivery that opens a new connection. */
    public static Delivery newConnectionWithin(long millis) {
        return new Delivery(millis, true);
    }
}
