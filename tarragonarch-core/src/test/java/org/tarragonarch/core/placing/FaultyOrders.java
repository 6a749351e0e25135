package org.tarragonarch.core.placing;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;

/**
 * Delivers the orders of several holders to fake endpoints, with faults for each endpoint and kind of order.
 *
 * <p>An order that arrives late, at an incarnation that its sender had not heard from when it sent the order, is
 * dropped while nobody can prevent what it does: until its sender knows of that incarnation, and, if the sender
 * has sent a stop of the run to it, until that stop arrives.
 */
final class FaultyOrders implements EndpointOrders {
    /** The kinds of orders, which fail separately. */
    enum Kind {
        START,
        STOP,
        POLL
    }

    /** What happens to orders. */
    enum Fault {
        /** Orders and answers arrive. */
        NONE,
        /** Orders are lost. */
        LOST,
        /** Orders arrive, and their answers are lost. */
        ANSWER_LOST,
        /** Orders arrive after a random time, and so do their answers. */
        LATE,
        /** Each order is lost, unanswered, late or sound. */
        MIXED
    }

    /** The delay from which on an order counts as late, in milliseconds. */
    private static final long LATE_MILLIS = 4;

    final Map<EndpointId, Site> sites = new LinkedHashMap<>();
    private final VirtualTimers timers;
    private final Random random;
    private final long milliCores;
    private final Consumer<String> trace;

    FaultyOrders(VirtualTimers timers, Random random, long milliCores, Consumer<String> trace) {
        this.timers = timers;
        this.random = random;
        this.milliCores = milliCores;
        this.trace = trace;
    }

    void add(EndpointId id, FakeEndpoint endpoint, long capacity) {
        Site site = new Site(id, endpoint);
        site.resize(timers.nowMillis(), capacity);
        sites.put(id, site);
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        Site site = sites.get(entry.id());
        long sentAt = timers.nowMillis();
        Order<OrderAnswer> sent = new Order<>(
                "start " + order.run() + " until " + order.leaseUntilMillis(),
                site,
                order.token(),
                () -> site.endpoint.start(order, milliCores, site.largestCapacitySince(sentAt)),
                reply);
        sent.send(Kind.START, delivery.answerWithinMillis(), OrderAnswer.of(OrderResult.UNKNOWN), order.run());
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        Site site = sites.get(entry.id());
        Order<OrderAnswer> sent = new Order<>("stop " + run, site, token, () -> site.endpoint.stop(token, run), reply);
        if (site.isKnownTo(token)) {
            site.stopsSent.add(run);
        }
        sent.send(Kind.STOP, delivery.answerWithinMillis(), OrderAnswer.of(OrderResult.UNKNOWN), null);
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        Site site = sites.get(entry.id());
        Order<PollAnswer> sent = new Order<>("poll " + order.leaseUntilMillis(), site, order.token(), null, reply);
        sent.call = () -> {
            site.endpoint.poll(order, sent::answer);
            return null;
        };
        sent.send(
                Kind.POLL,
                order.waitMillis() + delivery.answerWithinMillis(),
                PollAnswer.failed(OrderResult.UNKNOWN),
                null);
    }

    /** An address with what runs there, its faults and what is known of it. */
    final class Site {
        final EndpointId id;
        final FakeEndpoint endpoint;
        final Map<Kind, Fault> faults = new EnumMap<>(Kind.class);
        long longestDelayMillis = 1;
        private final Map<FencingToken, Integer> lastHeard = new HashMap<>();
        private final Map<FencingToken, Integer> lastKnown = new HashMap<>();
        private final Map<FencingToken, ClockRead> clocks = new HashMap<>();
        private final Set<TaskRun> stopsSent = new HashSet<>();
        private final Map<Long, Long> capacities = new LinkedHashMap<>();
        private int life;

        Site(EndpointId id, FakeEndpoint endpoint) {
            this.id = id;
            this.endpoint = endpoint;
        }

        /** Records that a holder knows of the incarnation that started then. */
        void known(FencingToken token, long startedMillis) {
            if (startedMillis == endpoint.startedMillis()) {
                lastHeard.put(token, life);
                lastKnown.put(token, life);
            }
        }

        private boolean isKnownTo(FencingToken token) {
            return lastKnown.getOrDefault(token, -1) == life;
        }

        /** Records a list that a holder has received; its start or its clock may prove which incarnation sent it. */
        private void heard(FencingToken token, int from, PollAnswer answer, long sentAtMillis) {
            if (answer.clockMillis().isEmpty()) {
                return;
            }
            ClockRead before = clocks.get(token);
            long clock = answer.clockMillis().getAsLong();
            boolean isProof = before == null
                    || answer.startedMillis() != EndpointIncarnation.UNKNOWN_START
                    || sentAtMillis >= before.atMillis() && clock < before.clockMillis();
            if (isProof) {
                lastKnown.merge(token, from, Math::max);
            }
            lastHeard.merge(token, from, Math::max);
            clocks.put(token, new ClockRead(clock, timers.nowMillis()));
        }

        void restart(boolean reportsStart) {
            life++;
            stopsSent.clear();
            if (reportsStart) {
                endpoint.restart();
            } else {
                endpoint.restartWithSameStart();
            }
        }

        void resize(long nowMillis, long capacity) {
            capacities.merge(nowMillis, capacity, Math::max);
            endpoint.resize(capacity);
        }

        private long largestCapacitySince(long millis) {
            long largest = 0;
            long before = 0;
            for (Map.Entry<Long, Long> each : capacities.entrySet()) {
                if (each.getKey() < millis) {
                    before = each.getValue();
                } else {
                    largest = Math.max(largest, each.getValue());
                }
            }
            return Math.max(largest, before);
        }
    }

    /** The clock of an endpoint in a list, and when the list arrived. */
    private record ClockRead(long clockMillis, long atMillis) {}

    /** One order on its way. */
    private final class Order<T> {
        private final String what;
        private final Site site;
        private final FencingToken token;
        private final Consumer<T> reply;
        private final int heardLife;
        private final long sentAtMillis;
        private Supplier<T> call;
        private boolean answered;
        private boolean answerLost;
        private long answerDelayMillis = 1;
        private int arrivedAtLife;

        Order(String what, Site site, FencingToken token, Supplier<T> call, Consumer<T> reply) {
            this.what = what;
            this.site = site;
            this.token = token;
            this.call = call;
            this.reply = reply;
            this.sentAtMillis = timers.nowMillis();
            this.heardLife = site.lastHeard.getOrDefault(token, -1);
        }

        void send(Kind kind, long timeoutMillis, T unanswered, TaskRun started) {
            timers.schedule(timeoutMillis, () -> give(unanswered));
            Fault fault = site.faults.getOrDefault(kind, Fault.NONE);
            if (fault == Fault.MIXED) {
                fault = Fault.values()[random.nextInt(Fault.MIXED.ordinal())];
            }
            long delay = 1;
            if (fault == Fault.LATE) {
                delay = 1 + random.nextInt((int) site.longestDelayMillis);
                answerDelayMillis = 1 + random.nextInt((int) site.longestDelayMillis);
            }
            answerLost = fault == Fault.ANSWER_LOST;
            trace(what + " sent, " + fault + " " + delay);
            if (fault != Fault.LOST) {
                boolean late = delay > LATE_MILLIS;
                timers.schedule(delay, () -> arrive(late, started));
            }
        }

        private void arrive(boolean late, TaskRun started) {
            if (late && started != null && isUnpreventable(started)) {
                trace(what + " dropped");
                return;
            }
            arrivedAtLife = site.life;
            T answer = call.get();
            if (answer != null) {
                trace(what + " arrived: " + ((OrderAnswer) answer).result());
                answer(answer);
            }
        }

        private boolean isUnpreventable(TaskRun started) {
            return heardLife != site.life && (!site.isKnownTo(token) || site.stopsSent.contains(started));
        }

        private void answer(T answer) {
            int from = site.life;
            // A restart breaks the connections of waiting polls.
            if (!answerLost && from == arrivedAtLife) {
                timers.schedule(answerDelayMillis, () -> {
                    if (!answered && answer instanceof PollAnswer lists) {
                        site.heard(token, from, lists, sentAtMillis);
                    }
                    give(answer);
                });
            }
        }

        private void give(T answer) {
            if (!answered) {
                answered = true;
                reply.accept(answer);
            }
        }

        private void trace(String text) {
            trace.accept(token + " to " + site.id + ": " + text);
        }
    }
}
