package org.tarragonarch.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import org.tarragonarch.model.id.EndpointId;

/**
 * The slots of one endpoint as one node sees them: what it uses itself, and what its peers last reported.
 *
 * <p>Compared by identity. A change to one is passed to each {@link SlotPool} that holds it by {@link SlotPool#put}.
 */
public final class EndpointSlots {
    private final EndpointId endpoint;
    private int slots;
    private int homeSlots;
    private int ownInFlight;
    private int peersInFlight;
    private int othersSeen;
    private int vacated;

    private EndpointSlots(EndpointId endpoint) {
        this.endpoint = checkNotNull(endpoint, "endpoint");
    }

    /** Returns an endpoint of which nothing is known to be in use. */
    public static EndpointSlots create(EndpointId endpoint) {
        return new EndpointSlots(endpoint);
    }

    /** Returns the endpoint. */
    public EndpointId endpoint() {
        return endpoint;
    }

    /**
     * Sets how many slots there are.
     *
     * @param all all slots of the endpoint
     * @param home those among them whose home is this node
     */
    public void resize(int all, int home) {
        slots = all;
        homeSlots = home;
    }

    /** Returns all slots of the endpoint. */
    public int slots() {
        return slots;
    }

    /** Returns tasks of this node in flight at the endpoint. */
    public int ownInFlight() {
        return ownInFlight;
    }

    /** Counts a task of this node that is sent. */
    public void taskSent() {
        ownInFlight++;
        vacated = Math.max(0, vacated - 1);
    }

    /** Counts a task of this node that ended. */
    public void taskEnded() {
        checkState(ownInFlight > 0, "no task in flight at %s", endpoint);
        ownInFlight--;
    }

    /** Records that a task of this node left a slot, which is free unless a peer has taken it since. */
    public void slotVacated() {
        vacated++;
    }

    /** Records that no slot is free: what this node does not use, others do, whatever they last reported. */
    public void markFull() {
        vacated = 0;
        othersSeen = Math.max(0, slots - ownInFlight);
    }

    /** Lets one slot more count as free, since a refusal grows old. */
    public void decayRefusal() {
        othersSeen = Math.max(0, othersSeen - 1);
    }

    /** Returns whether a refusal still counts. */
    public boolean hasRecentRefusal() {
        return othersSeen > 0;
    }

    /** Records a change of what peers report in flight. */
    public void addPeersInFlight(int delta) {
        peersInFlight += delta;
    }

    /** Returns the tasks of peers in flight at the endpoint, as they last reported. */
    public int peersInFlight() {
        return peersInFlight;
    }

    /** Returns whether a slot is free by what this node did and met itself, whatever peers report. */
    boolean hasFreeSlot() {
        return ownInFlight + othersSeen < slots;
    }

    /** Returns the slots not in use by this node or, as last reported or seen, by others; may be below 0. */
    public int estimatedFreeSlots() {
        return slots - ownInFlight - Math.max(peersInFlight, othersSeen);
    }

    /** Returns whether this node left a slot and has not used it since. */
    boolean hasVacatedSlot() {
        return vacated > 0;
    }

    /** Returns whether a slot whose home is this node is free of this node's own tasks. */
    boolean hasFreeHomeSlot() {
        return ownInFlight < homeSlots;
    }
}
