package org.tarragonarch.core.placing;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.HoldOrder;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/**
 * The calls to one endpoint under one token, and what they say of its clock and of the lease of all that runs there.
 *
 * <p>Every answer is read for the endpoint's clock before it is passed on.
 */
final class EndpointLink {
    private final FencingToken token;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private EndpointClock clock = new EndpointClock();
    private EndpointEntry entry;
    private int incarnationNumber;
    private long leaseOverAtMillis;

    EndpointLink(
            EndpointEntry entry, FencingToken token, PlacingSettings settings, EndpointOrders orders, Timers timers) {
        this.entry = entry;
        this.token = token;
        this.settings = settings;
        this.orders = orders;
        this.timers = timers;
    }

    EndpointEntry entry() {
        return entry;
    }

    EndpointIncarnation incarnation() {
        return entry.incarnation();
    }

    /**
     * Returns the number of the present incarnation, from 0; a call sent under another number was for an earlier one.
     */
    int incarnationNumber() {
        return incarnationNumber;
    }

    /** Records a later entry of the same incarnation. */
    void update(EndpointEntry later) {
        entry = later.incarnation().hasStart() ? later : later.withIncarnation(entry.incarnation());
    }

    /** Records when the incarnation started that is called already. */
    void startedAt(long millis) {
        entry = entry.withIncarnation(entry.incarnation().startedAt(millis));
    }

    /** Records that a later incarnation takes the calls from now on; its clock is not known. */
    void restarted(EndpointEntry later) {
        entry = later;
        incarnationNumber++;
        clock = new EndpointClock();
    }

    /** Records the clock in a list of the present incarnation; empty if the list has none. */
    void clockListed(OptionalLong clockMillis) {
        clock.answered(clockMillis, timers.nowMillis());
    }

    PlacingSettings settings() {
        return settings;
    }

    Timers timers() {
        return timers;
    }

    long nowMillis() {
        return timers.nowMillis();
    }

    /** Returns when everything that a call has extended so far has certainly lapsed, in milliseconds. */
    long leaseOverAtMillis() {
        return leaseOverAtMillis;
    }

    /** Starts a run, and extends the lease of all that runs. */
    void start(TaskRun run, String specification, Consumer<OrderAnswer> reply) {
        StartOrder order = new StartOrder(token, run, specification, extendLease());
        int sentTo = incarnationNumber;
        orders.start(entry, order, delivery(false), answer -> {
            if (sentTo == incarnationNumber) {
                clock.answered(answer.clockMillis(), timers.nowMillis());
            }
            reply.accept(answer);
        });
    }

    /**
     * Stops a run. An answer to a stop that was sent to an earlier incarnation is dropped: it binds that one alone.
     *
     * @param fresh whether to use a new connection, because those that are open may have gone silent
     */
    void stop(TaskRun run, boolean fresh, Consumer<OrderAnswer> reply) {
        int sentTo = incarnationNumber;
        orders.stop(entry, token, run, delivery(fresh), answer -> {
            if (sentTo == incarnationNumber) {
                clock.answered(answer.clockMillis(), timers.nowMillis());
                reply.accept(answer);
            }
        });
    }

    /**
     * Reads the lists without extending the lease; the answer comes at once.
     *
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     */
    void list(long acknowledgedEnd, boolean fresh, Consumer<HoldAnswer> reply) {
        hold(new HoldOrder(token, acknowledgedEnd, OptionalLong.empty(), 0), fresh, reply);
    }

    /** Extends the lease of all that runs, and reads the lists as soon as there is an end or the wait is over. */
    void renew(long acknowledgedEnd, boolean fresh, Consumer<HoldAnswer> reply) {
        OptionalLong until = OptionalLong.of(extendLease());
        hold(new HoldOrder(token, acknowledgedEnd, until, settings.pollWait()), fresh, reply);
    }

    private void hold(HoldOrder order, boolean fresh, Consumer<HoldAnswer> reply) {
        orders.hold(entry, order, delivery(fresh), reply);
    }

    private Delivery delivery(boolean fresh) {
        return new Delivery(settings.answerTimeout(), fresh);
    }

    /** Returns when a lease that is extended now ends, on the endpoint's clock. */
    private long extendLease() {
        long now = timers.nowMillis();
        leaseOverAtMillis = Math.max(leaseOverAtMillis, now + settings.leaseExpiry());
        return clock.at(now) + settings.lease();
    }
}
