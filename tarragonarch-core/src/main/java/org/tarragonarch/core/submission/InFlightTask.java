package org.tarragonarch.core.submission;

import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;

/**
 * A task that was sent and whose end has not been reported.
 *
 * <p>It outlives its submission, because it takes the endpoint's slot until its end.
 *
 * @param service the service of the task
 * @param kind the kind of the task
 * @param team the team whose quota it counts against
 * @param endpoint the endpoint it was sent to
 * @param attempt the number of the attempt, from 1
 * @param sentNanos the time at which it was sent
 * @param stopped whether this node stopped it, so that its end is no sign of the endpoint's health
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
