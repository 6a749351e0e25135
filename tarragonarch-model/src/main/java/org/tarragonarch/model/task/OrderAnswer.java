package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * The answer to a start or a stop.
 *
 * @param result what became of the order
 * @param clockMillis the endpoint's clock as it answered
 */
public record OrderAnswer(OrderResult result, OptionalLong clockMillis) {
    /** Checks the parts. */
    public OrderAnswer {
        checkNotNull(result, "result");
        checkNotNull(clockMillis, "clockMillis");
    }

    /** Returns an answer without a clock. */
    public static OrderAnswer of(OrderResult result) {
        return new OrderAnswer(result, OptionalLong.empty());
    }
}
