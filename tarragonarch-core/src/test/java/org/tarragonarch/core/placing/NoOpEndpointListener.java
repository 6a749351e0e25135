package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.TaskRun;

/** A listener that ignores all events. */
final class NoOpEndpointListener implements EndpointListener {
    @Override
    public void runEnded(HeldEndpoint endpoint, Reservation reservation, EndKind kind) {}

    @Override
    public void runLapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void failedRunListed(TaskRun run) {}

    @Override
    public void crashConfirmed(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void startRefused(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void startRefusedAsOld(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void orderUnreadable(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void firstListRead(HeldEndpoint endpoint) {}

    @Override
    public void endpointRestarted(HeldEndpoint endpoint) {}

    @Override
    public void endpointUsable(HeldEndpoint endpoint) {}

    @Override
    public void endpointFenced(HeldEndpoint endpoint) {}
}
