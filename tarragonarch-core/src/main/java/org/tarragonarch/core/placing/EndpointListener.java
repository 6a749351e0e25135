package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.TaskRun;

/** Receives the events of a held endpoint. */
interface EndpointListener {
    /** Called when a run has ended and its capacity is released. */
    void runEnded(HeldEndpoint endpoint, Reservation reservation, EndKind kind);

    /** Called when the endpoint lists a run as lapsed that this holder has not ended; its capacity is released. */
    void runLapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation);

    /**
     * Called when a failed run is listed that holds no capacity: its lease had expired here before its end was listed,
     * or an earlier holder started it.
     */
    void failedRunListed(TaskRun run);

    /** Called when an endpoint whose silence ended the run is found to have crashed. */
    void crashConfirmed(HeldEndpoint endpoint, Reservation reservation);

    /** Called when the endpoint has restarted under the same id, before its runs are ended. */
    void endpointRestarted(HeldEndpoint endpoint);

    /** Called when a start was refused or not sent; its capacity is released, and the task may start anywhere. */
    void startRefused(HeldEndpoint endpoint, Reservation reservation);

    /** Called when a start was refused because the endpoint knows a later run; the task needs a higher run number. */
    void startRefusedAsOld(HeldEndpoint endpoint, Reservation reservation);

    /** Called when a start order was refused as unreadable; no endpoint can read it. */
    void orderUnreadable(HeldEndpoint endpoint, Reservation reservation);

    /** Called when the lists were read for the first time, so that the runs left by earlier holders are known. */
    void firstListRead(HeldEndpoint endpoint);

    /** Called when the endpoint may accept tasks that it did not accept before. */
    void endpointUsable(HeldEndpoint endpoint);

    /** Called when the endpoint rejects this holder's token because it has seen a higher one. */
    void endpointFenced(HeldEndpoint endpoint);
}
