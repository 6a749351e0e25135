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

/** A fake endpoint with slots and a switchable fault, which reports each start to the promise checker. */
public final class FakeEndpoint {
    private static final long FAIL_NANOS = 1_000_000;
    private static final long ROUND_TRIP_NANOS = 3_000_000;

    private final String name;
    private final int slots;
    private final VirtualTime time;
    private final PromiseChecker checker;
    private final Map<TaskId, Reply> running = new LinkedHashMap<>();
    private final Map<String, LateContact> lateContacts = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private EndpointFault fault = EndpointFault.NONE;
    private Address address;
    private boolean alive = true;
    private boolean draining;
    private long drainingSinceNanos = Long.MAX_VALUE;

    FakeEndpoint(String name, int slots, VirtualTime time, PromiseChecker checker) {
        this.name = name;
        this.slots = slots;
        this.time = time;
        this.checker = checker;
    }

    /** Makes the endpoint listen on an address, in place of any earlier one. */
    void listen(Address where) {
        address = where;
    }

    /** Returns whether the endpoint runs and listens on an address. */
    boolean listensAt(Address where) {
        return alive && where.equals(address);
    }

    /** Returns the endpoint's name. */
    public String name() {
        return name;
    }

    int slots() {
        return slots;
    }

    boolean isDraining() {
        return draining;
    }

    /** Sets the endpoint's fault. */
    public void setFault(EndpointFault newFault) {
        fault = newFault;
    }

    /** Starts to leave: finishes the running tasks and refuses new ones. */
    public void drain() {
        draining = true;
        drainingSinceNanos = time.nowNanos();
    }

    /** Ends the endpoint at once; its running tasks are lost. */
    public void kill() {
        alive = false;
        Map<TaskId, Reply> lost = new LinkedHashMap<>(running);
        running.clear();
        lost.values().forEach(reply -> reply.complete(SendResult.LOST, false));
    }

    /** Starts again after a kill or a drain, without tasks and without a fault. */
    public void restart() {
        alive = true;
        draining = false;
        drainingSinceNanos = Long.MAX_VALUE;
        fault = EndpointFault.NONE;
        lateContacts.clear();
        refused.clear();
    }

    /** Records that a node received a refusal because this endpoint is leaving. */
    void recordRefusal(String node) {
        if (draining) {
            refused.add(node);
        }
    }

    /** Returns whether a node received such a refusal from this endpoint. */
    boolean hasRefused(String node) {
        return draining && refused.contains(node);
    }

    /**
     * Records a contact by a node and returns the number of its late contacts.
     *
     * <p>A contact is late if this endpoint has been leaving for longer than the grace period. Several sends within one
     * round trip count as one contact, because a node that resumes from a pause sends its waiting tasks before the
     * first refusal can reach it.
     *
     * @param node the name of the run of the node
     * @param graceNanos the time after which a node should know that this endpoint is leaving
     */
    int recordLateContact(String node, long graceNanos) {
        long now = time.nowNanos();
        if (!draining || now < drainingSinceNanos + graceNanos) {
            return 0;
        }
        LateContact before = lateContacts.get(node);
        LateContact contact = before == null
                ? new LateContact(1, now)
                : new LateContact(
                        now > before.nanos() + ROUND_TRIP_NANOS ? before.count() + 1 : before.count(), before.nanos());
        lateContacts.put(node, contact);
        return contact.count();
    }

    /** Receives a task; the reply is called once, unless the endpoint hangs. */
    void receive(SendTask send, long runNanos, Reply reply) {
        if (!listensAt(send.address())) {
            reply.complete(SendResult.CONNECT_FAILED, false);
        } else if (draining) {
            reply.complete(SendResult.REFUSED_DRAINING, true);
        } else if (running.size() >= slots) {
            reply.complete(SendResult.REFUSED_BUSY, false);
        } else {
            checker.recordStart(send.task(), send.attempt(), name);
            running.put(send.task(), reply);
            long nanos = fault == EndpointFault.FAILS_ALL ? FAIL_NANOS : runNanos;
            time.scheduleAfter(nanos, () -> finish(send.task(), reply));
        }
    }

    /** Stops a task whose result is no longer wanted. */
    void stop(TaskId task) {
        Reply reply = running.remove(task);
        if (reply != null) {
            reply.complete(SendResult.LOST, false);
        }
    }

    private void finish(TaskId task, Reply reply) {
        if (running.get(task) != reply || fault == EndpointFault.HANGS) {
            return;
        }
        running.remove(task);
        switch (fault) {
            case FAILS_ALL -> reply.complete(SendResult.TASK_FAILED, draining);
            case CUTS_ANSWER_SHORT -> reply.complete(SendResult.LOST, draining);
            default -> {
                checker.recordSuccess(task);
                reply.complete(SendResult.SUCCEEDED, draining);
            }
        }
    }

    private record LateContact(int count, long nanos) {}

    /** A callback for the endpoint's answer to one task. */
    @FunctionalInterface
    interface Reply {
        /** Completes the exchange with the result that the endpoint saw and whether the endpoint is leaving. */
        void complete(SendResult result, boolean leaving);
    }
}
