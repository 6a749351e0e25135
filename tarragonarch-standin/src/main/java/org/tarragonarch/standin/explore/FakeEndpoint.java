package org.tarragonarch.standin.explore;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.TaskId;

/** An endpoint with slots, a few faults, and a line in the ledger for each start. */
public final class FakeEndpoint {
    private static final long FAIL_NANOS = 1_000_000;
    private static final long ROUND_TRIP_NANOS = 3_000_000;

    private final String name;
    private final int slots;
    private final VirtualTime time;
    private final PromiseChecker checker;
    private final Map<TaskId, Reply> running = new LinkedHashMap<>();
    private final Map<String, LateContact> recordLateContact = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private EndpointFault setFault = EndpointFault.NONE;
    private Address address;
    private boolean alive = true;
    private boolean isDraining;
    private long drainingSinceNanos = Long.MAX_VALUE;

    FakeEndpoint(String name, int slots, VirtualTime time, PromiseChecker checker) {
        this.name = name;
        this.slots = slots;
        this.time = time;
        this.checker = checker;
    }

    /** Makes the endpoint listen here and nowhere else. */
    void listen(Address at) {
        address = at;
    }

    /** Returns whether the endpoint runs and listens here. */
    boolean listensAt(Address at) {
        return alive && at.equals(address);
    }

    /** Returns the endpoint's name. */
    public String name() {
        return name;
    }

    int slots() {
        return slots;
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Makes the endpoint do this wrong from now on. */
    public void setFault(EndpointFault next) {
        setFault = next;
    }

    /** Starts to leave: finishes what runs and refuses the rest. */
    public void drain() {
        isDraining = true;
        drainingSinceNanos = time.nowNanos();
    }

    /** Ends the endpoint at once; what runs is lost. */
    public void kill() {
        alive = false;
        Map<TaskId, Reply> cut = new LinkedHashMap<>(running);
        running.clear();
        cut.values().forEach(reply -> reply.complete(SendResult.LOST, false));
    }

    /** Starts again after a kill or a drain, empty and well. */
    public void restart() {
        alive = true;
        isDraining = false;
        drainingSinceNanos = Long.MAX_VALUE;
        setFault = EndpointFault.NONE;
        recordLateContact.clear();
        refused.clear();
    }

    /** Records that this endpoint itself has notified a node that it is leaving. */
    void recordRefusal(String node) {
        if (isDraining) {
            refused.add(node);
        }
    }

    /** Returns whether a node sends although this endpoint itself notified it that it is leaving. */
    boolean hasRefused(String node) {
        return isDraining && refused.contains(node);
    }

    /**
     * Counts the contacts of a node that should know by now that this endpoint is leaving.
     *
     * <p>Several sends within one round trip are one contact: a node that wakes from a pause sends what waited before
     * the first refusal can reach it.
     */
    int recordLateContact(String node, long graceNanos) {
        long now = time.nowNanos();
        if (!isDraining || now < drainingSinceNanos + graceNanos) {
            return 0;
        }
        LateContact before = recordLateContact.get(node);
        LateContact contact = before == null
                ? new LateContact(1, now)
                : new LateContact(
                        now > before.nanos() + ROUND_TRIP_NANOS ? before.count() + 1 : before.count(), before.nanos());
        recordLateContact.put(node, contact);
        return contact.count();
    }

    /** Records a task; the reply is called once, unless the endpoint hangs. */
    void receive(SendTask send, long runNanos, Reply reply) {
        if (!listensAt(send.address())) {
            reply.complete(SendResult.CONNECT_FAILED, false);
        } else if (isDraining) {
            reply.complete(SendResult.REFUSED_DRAINING, true);
        } else if (running.size() >= slots) {
            reply.complete(SendResult.REFUSED_BUSY, false);
        } else {
            checker.recordStart(send.task(), send.attempt(), name);
            running.put(send.task(), reply);
            long nanos = setFault == EndpointFault.FAILS_ALL ? FAIL_NANOS : runNanos;
            time.scheduleAfter(nanos, () -> finish(send.task(), reply));
        }
    }

    /** Stops a task whose result nobody wants. */
    void stop(TaskId task) {
        Reply reply = running.remove(task);
        if (reply != null) {
            reply.complete(SendResult.LOST, false);
        }
    }

    private void finish(TaskId task, Reply reply) {
        if (running.get(task) != reply || setFault == EndpointFault.HANGS) {
            return;
        }
        running.remove(task);
        switch (setFault) {
            case FAILS_ALL -> reply.complete(SendResult.TASK_FAILED, isDraining);
            case CUTS_ANSWER_SHORT -> reply.complete(SendResult.LOST, isDraining);
            default -> {
                checker.recordSuccess(task);
                reply.complete(SendResult.SUCCEEDED, isDraining);
            }
        }
    }

    private record LateContact(int count, long nanos) {}

    /** Takes the endpoint's answer to one task. */
    @FunctionalInterface
    interface Reply {
        /** Takes the end of the exchange, as the endpoint sees it. */
        void complete(SendResult result, boolean leaving);
    }
}
