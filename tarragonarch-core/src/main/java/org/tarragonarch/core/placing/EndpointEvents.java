package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;

/** What a held endpoint tells the placer. */
interface EndpointEvents {
    /** A run ended; its room is free. */
    void ended(HeldEndpoint endpoint, Reservation reservation, EndKind kind);

    /** The endpoint lists that the lease of a run lapsed, which this holder had not noticed; its room is free. */
    void lapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation);

    /** An endpoint whose silence had ended a run of the task has turned out to have crashed. */
    void crashed(HeldEndpoint endpoint, PlacedTask task);

    /** The endpoint has restarted under its id; the ends of its runs follow. */
    void restarted(HeldEndpoint endpoint);

    /** A run was refused or never left; its room is free, and the task may start anywhere. */
    void refused(HeldEndpoint endpoint, Reservation reservation);

    /** A run was refused because a later one was there before; the task needs a higher number. */
    void refusedAsOld(HeldEndpoint endpoint, Reservation reservation);

    /** No endpoint can read the order. */
    void unreadable(HeldEndpoint endpoint, Reservation reservation);

    /** The endpoint was read for the first time: what earlier holders left there is known. */
    void firstListed(HeldEndpoint endpoint);

    /** The endpoint can take tasks that it could not take before. */
    void usable(HeldEndpoint endpoint);

    /** The endpoint obeys a higher token. */
    void fenced(HeldEndpoint endpoint);
}
