package org.tarragonarch.core.submission;

import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;

/**
 * A task that was sent and whose end was not yet reported; outlives its submission, because the endpoint's slot does.
 *
 * @param service the service whose task it is
 * @param kind the task's kind
 * @param team the team it counts against
 * @param endpoint where it was sent
 * @param attempt which attempt it is
 * @param sentNanos when it was sent
 * @param stopped whether this node stopped it, so that its end says nothing of the endpoint
 */
record InFlightTask(
        ServiceName service,
        KindName kind,
        TeamName team,
        Endpoint endpoint,
        int attempt,
        long sentNanos,
        boolean stopped) {
    InFlightTask asStopped() {
        return new InFlightTask(service, kind, team, endpoint, attempt, sentNanos, true);
    }
}
