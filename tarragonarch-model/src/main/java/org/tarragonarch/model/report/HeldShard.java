package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.FencingToken;

/**
 * The endpoints of one failure domain, as held by the node that says so.
 *
 * @param domain where the endpoints stand
 * @param token the token under which they are held
 * @param freeMilliCores the processor time free there, in thousandths of a core
 */
public record HeldShard(FailureDomain domain, FencingToken token, long freeMilliCores) {
    /** Checks the parts. */
    public HeldShard {
        checkNotNull(domain, "domain");
        checkNotNull(token, "token");
    }
}
