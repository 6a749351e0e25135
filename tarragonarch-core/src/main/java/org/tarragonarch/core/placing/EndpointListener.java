package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;

/** What a held endpoint tells the placer. */
interface EndpointListener {
    /** A run ended; its room is free. */
    void runEnded(HeldEndpoint endpoint, Reservation reservation, EndKind kind);

    /** The endpoint lists that the lease of a run lapsed, which this holder had not noticed; its room is free. */
    void runLapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation);

    /** An endpoint whose silence had ended a run of the task has turned out to have crashed. */
    void crashConfirmed(HeldEndpoint endpoint, PlacedTask task);

    /** The endpoint has restarted under its id; the ends of its runs follow. */
    void endpointRestarted(HeldEndpoint endpoint);

    /** A run was refused or never left; its room is free, and the task may start anywhere. */
    void startRefused(HeldEndpoint endpoint, Reservation reservation);

    /** A run was refused because a later one was there before; the task needs a higher number. */
    void startRefusedAsOld(HeldEndpoint endpoint, Reservation reservation);

    /** No endpoint can read the order. */
    void orderUnreadable(HeldEndpoint endpoint, Reservation reservation);

    /** The endpoint was read for the first time: what earlier holders left there is known. */
    void firstListRead(HeldEndpoint endpoint);

    /** The endpoint can take tasks that it could not take before. */
    void endpointUsable(HeldEndpoint endpoint);

    /** The endpoint obeys a higher token. */
    void endpointFenced(HeldEndpoint endpoint);
}
