package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.NodeId;

/** An authority that never ends. */
public final class UnlimitedAuthority implements OriginAuthority {
    /** Creates the authority. */
    public UnlimitedAuthority() {}

    @Override
    public long endsAtMillis(NodeId origin) {
        return Long.MAX_VALUE;
    }

    @Override
    public long runsEndAtMillis(NodeId origin) {
        return Long.MAX_VALUE;
    }

    @Override
    public void clockStoodStill(long sinceMillis, long stoppedMillis) {
        // The authority does not depend on the clock.
    }
}
