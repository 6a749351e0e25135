package org.tarragonarch.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import org.tarragonarch.model.id.EndpointId;

/**
 * The slots of one endpoint as known to this node: those that it uses itself, and those that its peers last reported in
 * use.
 *
 * <p>Compared by identity. After a change, {@link SlotPool#put} must be called on each pool that contains it.
 */
public final class EndpointSlots {
    private final EndpointId endpoint;
    private int slots;
    private int homeSlots;
    private int ownInFlight;
    private int peersInFlight;
    private int refusedInFlight;
    private int vacated;

    private EndpointSlots(EndpointId endpoint) {
        this.endpoint = checkNotNull(endpoint, "endpoint");
    }

    /** Returns an endpoint without slots and without tasks in flight. */
    public static EndpointSlots create(EndpointId endpoint) {
        return new EndpointSlots(endpoint);
    }

    /** Returns the id of the endpoint. */
    public EndpointId endpoint() {
        return endpoint;
    }

    /**
     * Sets the number of slots.
     *
     * @param all the number of slots of the endpoint
     * @param home the number of these whose home is this node
     */
    public void resize(int all, int home) {
        slots = all;
        homeSlots = home;
    }

    /** Returns the number of slots of the endpoint. */
    public int slots() {
        return slots;
    }

    /** Returns the number of tasks of this node in flight at the endpoint. */
    public int ownInFlight() {
        return ownInFlight;
    }

    /** Records that a task of this node is sent. */
    public void taskSent() {
        ownInFlight++;
        vacated = Math.max(0, vacated - 1);
    }

    /**
     * Records that a task of this node ended.
     *
     * @throws IllegalStateException if no task of this node is in flight
     */
    public void taskEnded() {
        checkState(ownInFlight > 0, "no task in flight at %s", endpoint);
        ownInFlight--;
    }

    /** Records that a task of this node released a slot, which is free unless a peer has used it since. */
    public void slotVacated() {
        vacated++;
    }

    /**
     * Records that no slot is free: every slot that this node does not use counts as used by others, whatever peers
     * last reported.
     */
    public void markFull() {
        vacated = 0;
        refusedInFlight = Math.max(0, slots - ownInFlight);
    }

    /** Counts one more slot as free, as the last refusal ages. */
    public void decayRefusal() {
        refusedInFlight = Math.max(0, refusedInFlight - 1);
    }

    /** Returns whether slots still count as used by others because of a refusal. */
    public boolean hasRecentRefusal() {
        return refusedInFlight > 0;
    }

    /** Adds to the number of tasks that peers report in flight; {@code delta} may be negative. */
    public void addPeersInFlight(int delta) {
        peersInFlight += delta;
    }

    /** Returns the number of tasks of peers in flight at the endpoint, as last reported. */
    public int peersInFlight() {
        return peersInFlight;
    }

    /** Returns whether a slot is free according to this node's own tasks and refusals, whatever peers report. */
    boolean hasFreeSlot() {
        return ownInFlight + refusedInFlight < slots;
    }

    /**
     * Returns the number of slots not in use by this node or, as last reported or refused, by others; may be negative.
     */
    public int estimatedFreeSlots() {
        return slots - ownInFlight - Math.max(peersInFlight, refusedInFlight);
    }

    /** Returns whether this node has released a slot and not used it since. */
    boolean hasVacatedSlot() {
        return vacated > 0;
    }

    /** Returns whether a slot whose home is this node is free of this node's own tasks. */
    boolean hasFreeHomeSlot() {
        return ownInFlight < homeSlots;
    }
}
