package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * The answer to a start or stop order.
 *
 * @param result the result of the order
 * @param clockMillis the endpoint's clock at the time of the answer, in milliseconds
 */
public record OrderAnswer(OrderResult result, OptionalLong clockMillis) {
    /** Checks that no component is null. */
    public OrderAnswer {
        checkNotNull(result, "result");
        checkNotNull(clockMillis, "clockMillis");
    }

    /** Returns an answer without a clock reading. */
    public static OrderAnswer of(OrderResult result) {
        return new OrderAnswer(result, OptionalLong.empty());
    }
}
