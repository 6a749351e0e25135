package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.tarragonarch.model.id.EndpointIncarnation;

/**
 * The answer to a {@link HoldOrder}.
 *
 * @param result what became of it; the lists are empty unless it was carried out
 * @param clockMillis the endpoint's clock as it answered
 * @param running what runs
 * @param ended the ends that were not yet taken note of, in order
 * @param startedMillis when the incarnation that answers started, in milliseconds since 1970;
 *     {@link EndpointIncarnation#UNKNOWN_START} where that is unknown
 */
public record HoldAnswer(
        OrderResult result,
        OptionalLong clockMillis,
        ImmutableList<RunProgress> running,
        ImmutableList<TaskEnd> ended,
        long startedMillis) {
    /** Checks the parts. */
    public HoldAnswer {
        checkNotNull(result, "result");
        checkNotNull(clockMillis, "clockMillis");
        checkNotNull(running, "running");
        checkNotNull(ended, "ended");
    }

    /** Creates the answer of an endpoint whose start is unknown. */
    public HoldAnswer(
            OrderResult result,
            OptionalLong clockMillis,
            ImmutableList<RunProgress> running,
            ImmutableList<TaskEnd> ended) {
        this(result, clockMillis, running, ended, EndpointIncarnation.UNKNOWN_START);
    }

    /** Returns the answer of an endpoint that did not carry the order out. */
    public static HoldAnswer failed(OrderResult result) {
        return new HoldAnswer(result, OptionalLong.empty(), ImmutableList.of(), ImmutableList.of());
    }
}
