package org.tarragonarch.benchmark.experiment;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Endpoints that are alike.
 *
 * @param milliCores the room of each
 * @param speed how many times as fast as an ordinary one each is
 */
record EndpointClass(long milliCores, double speed) {
    EndpointClass {
        checkArgument(milliCores > 0, "milliCores %s is not positive", milliCores);
        checkArgument(speed > 0, "speed %s is not positive", speed);
    }
}
