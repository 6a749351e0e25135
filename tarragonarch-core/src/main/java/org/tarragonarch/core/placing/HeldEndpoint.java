package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.HoldOrder;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskEnd;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/**
 * One endpoint under this node's token: what runs there, what room is left, and the lease of all that runs.
 *
 * <p>The endpoint arbitrates: it obeys no token lower than the highest it has seen, and lists all that runs. So the
 * first look under a new token shuts out every earlier holder and shows what they left behind, which is stopped before
 * anything is started. From then on room is counted here, and is given back only when the endpoint listed the end, or
 * when the lease of the run has certainly run out.
 */
final class HeldEndpoint {
    /** The pause after the second look in a row without an answer; after the first the next one leaves at once. */
    private static final long FIRST_RETRY_MILLIS = 40;

    private static final long LONGEST_RETRY_MILLIS = 640;

    /** Ends are noted with the next look; an endpoint that fell idle is looked at once more after this while. */
    private static final long IDLE_NOTE_MILLIS = 500;

    /** An endpoint that refuses as unwell is left alone this long: a few times the run time of a short task. */
    private static final long UNWELL_REST_MILLIS = 250;

    private final EndpointOrders orders;
    private final Timers timers;
    private final PlacingSettings settings;
    private final FencingToken token;
    private final EndpointEvents events;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointClock clock = new EndpointClock();
    private final ReservedRoom room;
    private final FoundRuns found;
    private EndpointEntry entry;
    private long acknowledgedEnd;
    private long notedEnd;
    private boolean read;
    private boolean silent;
    private boolean closed;
    private boolean retired;
    private boolean lookUnderWay;
    private boolean idleNotePlanned;
    private long retryMillis;
    private long leaseOverAtMillis;

    HeldEndpoint(
            EndpointEntry entry,
            FencingToken token,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            EndpointEvents events) {
        this.entry = entry;
        this.token = token;
        this.settings = settings;
        this.orders = orders;
        this.timers = timers;
        this.events = events;
        this.room = new ReservedRoom(entry.capacity());
        this.found = new FoundRuns(timers, settings.stopTime(), new FoundHost());
    }

    /** Takes the first look. */
    void open() {
        look();
    }

    /** Gives no more orders; what runs is left to its lease. */
    void close() {
        closed = true;
    }

    /**
     * Gives no more orders, and takes what runs for over when its lease has certainly run out.
     *
     * <p>Guards against a task that runs twice: its endpoint may have another holder now, who knows nothing of it, and
     * until the lease is over or that holder has stopped it, it goes on.
     */
    void abandon() {
        closed = true;
        long left = Math.max(0, leaseOverAtMillis - timers.nowMillis());
        timers.after(left, () -> releaseAll(EndKind.LAPSED));
    }

    EndpointEntry entry() {
        return entry;
    }

    /** Takes in a later entry of the same life. */
    void update(EndpointEntry later) {
        entry = later;
        retired = false;
        room.resize(entry.capacity());
    }

    /** The list no longer shows the endpoint: what runs there may end, and nothing is started. */
    void retire() {
        retired = true;
    }

    ReservedRoom room() {
        return room;
    }

    Resources free() {
        return room.free();
    }

    /** Returns whether the first look was answered, so that everything that runs there is known. */
    boolean known() {
        return read && found.isEmpty();
    }

    /** Returns whether no run of the job can be here but those that may be taken over. */
    boolean readyFor(JobId job) {
        return read && !found.anyStopping(job);
    }

    /** Lets a job take over what an earlier holder started of it here. */
    void takeOver(PlacedJob job) {
        for (PlacedTask task : job.tasks()) {
            if (found.isDoneBefore(task.name()) && task.waiting()) {
                job.finished(task);
            }
        }
        for (TaskRun run : found.freeOf(job.id())) {
            job.task(run.task()).filter(PlacedTask::waiting).ifPresent(task -> takeOver(task, run));
        }
        if (!room.isEmpty()) {
            lookIfNeeded();
        }
    }

    private void takeOver(PlacedTask task, TaskRun run) {
        found.remove(run);
        task.takenOver(run);
        Reservation reservation = Reservation.takenOver(task, run, task.job().need(), timers.nowMillis());
        reserve(reservation);
    }

    private void reserve(Reservation reservation) {
        room.reserve(reservation);
        reservation.task().placed(this, reservation);
    }

    /** Returns whether any look was ever answered. */
    boolean answered() {
        return read;
    }

    /**
     * Returns whether the endpoint will most likely take tasks within moments, because its first look is under way or
     * what an earlier holder left there is being stopped.
     */
    boolean opening() {
        return !closed && !retired && !entry.draining() && !silent && !known();
    }

    boolean takes(Resources need, long nowMillis) {
        return need.fitsInto(room.free())
                && known()
                && !silent
                && !closed
                && !retired
                && !entry.draining()
                && !health.resting(nowMillis)
                && !(health.onTrial() && !room.isEmpty());
    }

    /** Starts a run; the endpoint must take it. */
    void start(PlacedTask task, TaskRun run, Resources need) {
        long now = timers.nowMillis();
        Reservation reservation = new Reservation(task, run, need, now);
        reserve(reservation);
        StartOrder order = new StartOrder(token, run, task.job().specification(), leaseUntil(now));
        orders.start(entry, order, delivery(false), answer -> startAnswered(reservation, answer));
        if (!lookUnderWay) {
            look();
        }
    }

    /** Stops a run, which stays reserved until its end is certain. */
    void stop(Reservation reservation) {
        if (reservation.wanted()) {
            reservation.stopping();
            sendStop(reservation, false);
        }
    }

    /**
     * Gives up runs that take far longer than expected, once a task.
     *
     * <p>Guards against an endpoint on which tasks stand still while it answers all calls: each of its places would
     * keep a job until its client leaves. Where the work itself is long, the second run is left alone.
     */
    void restartStuck() {
        long now = timers.nowMillis();
        for (Reservation reservation : room.all()) {
            long limit = reservation.task().job().longestRunMillis();
            boolean stuck = reservation.wanted() && now - reservation.startedAtMillis() > limit;
            if (stuck && reservation.task().restart()) {
                health.stoodStill(now);
            }
        }
    }

    void badRun() {
        health.failed(timers.nowMillis());
    }

    void goodRun() {
        health.good();
    }

    private void startAnswered(Reservation reservation, OrderAnswer answer) {
        long now = timers.nowMillis();
        if (closed || !room.contains(reservation)) {
            return;
        }
        clock.answered(answer.clockMillis(), now);
        switch (answer.result()) {
            case DONE -> reservation.running(now);
            case UNKNOWN -> startUnanswered(reservation);
            case OUTRANKED -> events.outranked(this);
            case OTHER_LIFE -> lifeOver();
            case OLD_RUN -> {
                room.release(reservation);
                events.refusedAsOld(this, reservation);
            }
            case UNREADABLE -> {
                room.release(reservation);
                events.unreadable(this, reservation);
            }
            default -> startRefused(reservation, answer.result(), now);
        }
    }

    private void startRefused(Reservation reservation, OrderResult result, long now) {
        if (result == OrderResult.NOT_SENT) {
            suspect();
        } else if (result != OrderResult.TOO_LATE) {
            health.rest(now, UNWELL_REST_MILLIS);
        }
        room.release(reservation);
        events.refused(this, reservation);
    }

    /**
     * Guards against an order that is carried out seconds after it was sent: the task would run twice, or over the
     * endpoint's room. It shows as a start without an answer. A look tells whether only the answer was lost; if the run
     * is not there it is stopped, which the endpoint remembers, and its room stays reserved until the stop was answered
     * or the order's own time is over.
     */
    private void startUnanswered(Reservation reservation) {
        if (reservation.is(Reservation.State.STARTING)) {
            lookAside(() -> stopIfStarting(reservation));
        }
    }

    private void stopIfStarting(Reservation reservation) {
        if (room.contains(reservation) && reservation.is(Reservation.State.STARTING)) {
            reservation.stopping();
            sendStop(reservation, true);
            suspect();
        }
    }

    /**
     * Takes one look beside the one that is under way, on a connection of its own, and then goes on.
     *
     * <p>That the endpoint obeys another holder or is another life is left to the next order, which learns it too.
     *
     * @param then what to do with what is known afterwards, also if the look got no answer
     */
    private void lookAside(Runnable then) {
        long sentAtMillis = timers.nowMillis();
        HoldOrder order = new HoldOrder(token, acknowledgedEnd, OptionalLong.empty(), 0);
        orders.hold(entry, order, delivery(true), answer -> {
            if (closed) {
                return;
            }
            if (answer.result() == OrderResult.DONE) {
                takeLists(answer, sentAtMillis);
            }
            then.run();
        });
    }

    private Delivery delivery(boolean fresh) {
        return new Delivery(settings.answerTime(), fresh);
    }

    /** Starts nothing more here until a look was answered. */
    private void suspect() {
        silent = true;
        lookIfNeeded();
    }

    private void sendStop(Reservation reservation, boolean fresh) {
        orders.stop(entry, token, reservation.run(), delivery(fresh), answer -> stopAnswered(reservation, answer));
    }

    private void stopAnswered(Reservation reservation, OrderAnswer answer) {
        if (closed || !room.contains(reservation)) {
            return;
        }
        long now = timers.nowMillis();
        clock.answered(answer.clockMillis(), now);
        switch (answer.result()) {
            case DONE, OLD_RUN -> stopTaken(reservation, now);
            case OUTRANKED -> events.outranked(this);
            case OTHER_LIFE -> lifeOver();
            default ->
                timers.after(FIRST_RETRY_MILLIS * 2, () -> {
                    if (!closed && room.contains(reservation)) {
                        sendStop(reservation, true);
                    }
                });
        }
    }

    /**
     * The endpoint has taken the stop: a run that never was there will not be, so the next look that does not show it
     * proves it; one that was takes a while to end.
     */
    private void stopTaken(Reservation reservation, long now) {
        if (reservation.seen()) {
            reservation.stopped(now + settings.stopTime());
            timers.after(settings.stopTime() + 1, this::lookIfNeeded);
        } else {
            reservation.stopped(now);
            timers.after(1, () -> lookAside(() -> timers.after(settings.stopTime(), this::lookIfNeeded)));
        }
    }

    private void lookIfNeeded() {
        if (!closed && !lookUnderWay) {
            look();
        }
    }

    private void look() {
        long now = timers.nowMillis();
        boolean extend = read && !silent && !room.isEmpty();
        OptionalLong until = extend ? OptionalLong.of(leaseUntil(now)) : OptionalLong.empty();
        long wait = extend ? settings.holdWait() : 0;
        long noting = acknowledgedEnd;
        lookUnderWay = true;
        HoldOrder order = new HoldOrder(token, noting, until, wait);
        orders.hold(entry, order, delivery(silent), answer -> lookAnswered(answer, now, noting));
    }

    private void lookAnswered(HoldAnswer answer, long sentAtMillis, long noted) {
        lookUnderWay = false;
        if (closed) {
            return;
        }
        long now = timers.nowMillis();
        clock.answered(answer.clockMillis(), now);
        switch (answer.result()) {
            case DONE -> {
                notedEnd = Math.max(notedEnd, noted);
                takeLists(answer, sentAtMillis);
                lookAgain();
            }
            case OUTRANKED -> events.outranked(this);
            case OTHER_LIFE -> lifeOver();
            default -> lookUnanswered(now);
        }
    }

    private void takeLists(HoldAnswer answer, long sentAtMillis) {
        ImmutableSet<TaskRun> running = ImmutableSet.copyOf(answer.running());
        for (TaskEnd end : answer.ended()) {
            if (end.number() > acknowledgedEnd) {
                acknowledgedEnd = end.number();
                found.remove(end.run());
                endListed(end);
            }
        }
        for (Reservation reservation : room.all()) {
            if (running.contains(reservation.run())) {
                reservation.running(timers.nowMillis());
            } else if (reservation.overIfAbsentAt(sentAtMillis)) {
                room.release(reservation);
                events.ended(this, reservation, EndKind.LAPSED);
            }
        }
        takeFound(running);
        boolean becameUsable = silent || !read;
        silent = false;
        read = true;
        retryMillis = 0;
        if (becameUsable || found.isEmpty()) {
            events.usable(this);
        }
    }

    private void endListed(TaskEnd end) {
        Optional<Reservation> reservation = room.of(end.run());
        if (reservation.isPresent()) {
            room.release(reservation.get());
            events.ended(this, reservation.get(), end.kind());
        } else if (!read && end.kind() == EndKind.DONE) {
            found.doneBefore(end.run().task());
        }
    }

    private void takeFound(ImmutableSet<TaskRun> running) {
        ImmutableSet<TaskRun> unknown =
                running.stream().filter(run -> room.of(run).isEmpty()).collect(ImmutableSet.toImmutableSet());
        found.listed(unknown, !read);
    }

    private void lookAgain() {
        if (!room.isEmpty()) {
            look();
        } else if (found.isEmpty() && notedEnd < acknowledgedEnd && !idleNotePlanned) {
            idleNotePlanned = true;
            timers.after(IDLE_NOTE_MILLIS, () -> {
                idleNotePlanned = false;
                if (notedEnd < acknowledgedEnd) {
                    lookIfNeeded();
                }
            });
        }
    }

    private void lookUnanswered(long now) {
        silent = true;
        if (!room.isEmpty() && now >= leaseOverAtMillis) {
            releaseAll(EndKind.LAPSED);
        }
        timers.after(retryMillis, this::lookIfNeeded);
        retryMillis = Math.max(FIRST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, retryMillis * 2));
    }

    private void lifeOver() {
        closed = true;
        releaseAll(EndKind.LAPSED);
    }

    private void releaseAll(EndKind kind) {
        for (Reservation reservation : room.all()) {
            room.release(reservation);
            events.ended(this, reservation, kind);
        }
    }

    private long leaseUntil(long now) {
        leaseOverAtMillis = Math.max(leaseOverAtMillis, now + settings.certainLapse());
        return clock.at(now) + settings.lease();
    }

    /** What this endpoint does for the runs that were found on it. */
    private final class FoundHost implements FoundRuns.Host {
        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public void stop(TaskRun run, boolean fresh, Consumer<OrderAnswer> reply) {
            orders.stop(entry, token, run, delivery(fresh), reply);
        }

        @Override
        public void lookIfNeeded() {
            HeldEndpoint.this.lookIfNeeded();
        }

        @Override
        public void outranked() {
            events.outranked(HeldEndpoint.this);
        }

        @Override
        public void lifeOver() {
            HeldEndpoint.this.lifeOver();
        }
    }
}
