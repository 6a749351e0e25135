package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.EndKind;

/** Ignores every event of an endpoint. */
final class IgnoredEvents implements EndpointEvents {
    @Override
    public void ended(HeldEndpoint endpoint, Reservation reservation, EndKind kind) {}

    @Override
    public void lapsedUnnoticed(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void crashed(HeldEndpoint endpoint, PlacedTask task) {}

    @Override
    public void refused(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void refusedAsOld(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void unreadable(HeldEndpoint endpoint, Reservation reservation) {}

    @Override
    public void firstListed(HeldEndpoint endpoint) {}

    @Override
    public void restarted(HeldEndpoint endpoint) {}

    @Override
    public void usable(HeldEndpoint endpoint) {}

    @Override
    public void fenced(HeldEndpoint endpoint) {}
}
