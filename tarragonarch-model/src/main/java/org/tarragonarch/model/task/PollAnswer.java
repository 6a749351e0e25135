package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.tarragonarch.model.id.EndpointIncarnation;

/**
 * The answer to a {@link PollOrder}.
 *
 * @param result the result of the order; the lists are empty unless it was carried out
 * @param clockMillis the endpoint's clock at the time of the answer, in milliseconds
 * @param running the runs in progress
 * @param ended the ends of runs that were not yet acknowledged, in order
 * @param startedMillis the start time of the incarnation that answers, in milliseconds since 1970;
 *     {@link EndpointIncarnation#UNKNOWN_START} if unknown
 */
public record PollAnswer(
        OrderResult result,
        OptionalLong clockMillis,
        ImmutableList<RunProgress> running,
        ImmutableList<TaskEnd> ended,
        long startedMillis) {
    /** Checks that no component is null. */
    public PollAnswer {
        checkNotNull(result, "result");
        checkNotNull(clockMillis, "clockMillis");
        checkNotNull(running, "running");
        checkNotNull(ended, "ended");
    }

    /** Creates the answer of an endpoint whose start time is unknown. */
    public PollAnswer(
            OrderResult result,
            OptionalLong clockMillis,
            ImmutableList<RunProgress> running,
            ImmutableList<TaskEnd> ended) {
        this(result, clockMillis, running, ended, EndpointIncarnation.UNKNOWN_START);
    }

    /** Returns the answer for an order that was not carried out. */
    public static PollAnswer failed(OrderResult result) {
        return new PollAnswer(result, OptionalLong.empty(), ImmutableList.of(), ImmutableList.of());
    }
}
