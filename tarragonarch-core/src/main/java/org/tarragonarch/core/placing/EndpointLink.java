package org.tarragonarch.core.placing;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/**
 * Sends calls to one endpoint under one token, and tracks the endpoint's clock and the lease of all its runs.
 *
 * <p>The clock value of an answer to an order is recorded before the answer is passed on.
 */
final class EndpointLink {
    /** Covers the rounding of two clocks to milliseconds. */
    private static final long CLOCK_TOLERANCE_MILLIS = 5;

    /** The time until which runs may continue if their lease must not be extended at all. */
    static final long NO_EXTENSION = OriginAuthority.NEVER;

    private final FencingToken token;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final OriginAuthority authority;
    private EndpointClock clock = new EndpointClock();
    private EndpointEntry entry;
    private int incarnationNumber;
    private long leaseExpiryMillis;

    EndpointLink(
            EndpointEntry entry,
            FencingToken token,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            OriginAuthority authority) {
        this.entry = entry;
        this.token = token;
        this.settings = settings;
        this.orders = orders;
        this.timers = timers;
        this.authority = authority;
    }

    EndpointEntry entry() {
        return entry;
    }

    EndpointIncarnation incarnation() {
        return entry.incarnation();
    }

    /**
     * Returns the number of the current incarnation, from 0. A call sent under a lower number went to an earlier one.
     */
    int incarnationNumber() {
        return incarnationNumber;
    }

    /** Returns whether the endpoint reports when it started, or has restarted: it may restart under its id. */
    boolean mayRestartUnderItsId() {
        return incarnationNumber > 0 || incarnation().hasStart();
    }

    /** Replaces the entry by a newer one of the same incarnation. */
    void update(EndpointEntry later) {
        entry = later.incarnation().hasStart() ? later : later.withIncarnation(entry.incarnation());
    }

    /** Records the start time of the current incarnation, in milliseconds. */
    void recordStart(long millis) {
        entry = entry.withIncarnation(entry.incarnation().withStart(millis));
    }

    /** Switches to a later incarnation, whose clock is not known yet. */
    void switchIncarnation(EndpointEntry later) {
        entry = later;
        incarnationNumber++;
        clock = new EndpointClock();
    }

    /**
     * Records the clock value of an answer from the current incarnation; empty if the answer has none.
     *
     * @param sentAtMillis when the call was sent, on the steady clock
     */
    void updateClock(OptionalLong clockMillis, long sentAtMillis) {
        long since = clock.takenAtMillis();
        long stopped = clock.update(clockMillis, sentAtMillis, timers.nowMillis());
        if (stopped > CLOCK_TOLERANCE_MILLIS) {
            authority.clockStoodStill(since, stopped);
        }
    }

    /** Returns whether the last reading of the endpoint's clock should be replaced by a new one. */
    boolean isClockOld() {
        return timers.nowMillis() - clock.takenAtMillis() >= settings.maxClockAge();
    }

    /** Returns whether the clock value of an answer proves that a later incarnation gave it. */
    boolean isOfLaterIncarnation(OptionalLong clockMillis, long sentAtMillis) {
        return clock.hasStartedAnew(clockMillis, sentAtMillis);
    }

    OriginAuthority authority() {
        return authority;
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

    /** Returns when every lease extended so far has certainly expired, in milliseconds on the steady clock. */
    long leaseExpiryMillis() {
        return leaseExpiryMillis;
    }

    /** Records that the lease may be as long as one that is extended now. */
    void recordLease() {
        leaseExpiryMillis = Math.max(leaseExpiryMillis, timers.nowMillis() + settings.leaseExpiry());
    }

    /**
     * Sends an order to start a run, which also extends the lease of all runs on the endpoint.
     *
     * @param runsEndMillis until when the runs on the endpoint may continue, on the steady clock
     */
    void start(TaskRun run, String specification, long runsEndMillis, Consumer<OrderAnswer> reply) {
        StartOrder order = new StartOrder(token, run, specification, extendLease(runsEndMillis));
        int sentTo = incarnationNumber;
        long sentAt = timers.nowMillis();
        orders.start(entry, order, delivery(false), answer -> {
            if (sentTo == incarnationNumber) {
                updateClock(answer.clockMillis(), sentAt);
            }
            reply.accept(answer);
        });
    }

    /**
     * Sends an order to stop a run. An answer from an earlier incarnation is dropped: it says nothing about the current
     * one.
     *
     * @param fresh whether to use a new connection, because the open ones may be dead
     */
    void stop(TaskRun run, boolean fresh, Consumer<OrderAnswer> reply) {
        int sentTo = incarnationNumber;
        long sentAt = timers.nowMillis();
        orders.stop(entry, token, run, delivery(fresh), answer -> {
            if (sentTo == incarnationNumber) {
                updateClock(answer.clockMillis(), sentAt);
                reply.accept(answer);
            }
        });
    }

    /**
     * Reads the lists without extending the lease; the endpoint answers immediately.
     *
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     * @param fresh whether to use a new connection, because the open ones may be dead
     */
    void list(long acknowledgedEnd, boolean fresh, Consumer<PollAnswer> reply) {
        poll(new PollOrder(token, acknowledgedEnd, OptionalLong.empty(), 0), fresh, reply);
    }

    /**
     * Extends the lease of all runs, and reads the lists; the endpoint answers at the next end of a run or after the
     * poll wait.
     *
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     * @param runsEndMillis until when the runs on the endpoint may continue, on the steady clock; if it is over, the
     *     lease stays as it is
     */
    void renew(long acknowledgedEnd, long runsEndMillis, Consumer<PollAnswer> reply) {
        renew(acknowledgedEnd, runsEndMillis, settings.pollWait(), reply);
    }

    /** Extends the lease of all runs like {@link #renew}, but the endpoint answers immediately. */
    void renewWithoutWait(long acknowledgedEnd, long runsEndMillis, Consumer<PollAnswer> reply) {
        renew(acknowledgedEnd, runsEndMillis, 0, reply);
    }

    private void renew(long acknowledgedEnd, long runsEndMillis, long waitMillis, Consumer<PollAnswer> reply) {
        OptionalLong until =
                runsEndMillis > timers.nowMillis() ? OptionalLong.of(extendLease(runsEndMillis)) : OptionalLong.empty();
        poll(new PollOrder(token, acknowledgedEnd, until, waitMillis), false, reply);
    }

    /**
     * Reads the lists without extending the lease; the endpoint answers at the next end of a run or after the wait.
     *
     * @param acknowledgedEnd the highest number of an end that need not be listed again
     * @param waitMillis the maximum time for which the endpoint delays the answer, in milliseconds
     */
    void watch(long acknowledgedEnd, long waitMillis, Consumer<PollAnswer> reply) {
        poll(new PollOrder(token, acknowledgedEnd, OptionalLong.empty(), waitMillis), false, reply);
    }

    private void poll(PollOrder order, boolean fresh, Consumer<PollAnswer> reply) {
        orders.poll(entry, order, delivery(fresh), reply);
    }

    private Delivery delivery(boolean fresh) {
        return new Delivery(settings.answerTimeout(), fresh);
    }

    /**
     * Extends the lease, but not beyond the time until which the runs may continue, and returns its expiry, in
     * milliseconds on the endpoint's clock.
     */
    private long extendLease(long runsEndMillis) {
        recordLease();
        long expiryMillis = clock.lowestAt(timers.nowMillis()) + settings.lease();
        return Math.max(0, Math.min(expiryMillis, clock.lowestAt(runsEndMillis)));
    }
}
