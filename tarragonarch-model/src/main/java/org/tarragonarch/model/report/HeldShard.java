package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.FencingToken;

/**
 * The endpoints of one failure domain, as held by the node that says so.
 *
 * @param domain where the endpoints stand
 * @param token the token under which they are held
 * @param freeMilliCores the processor time free there, in thousandths of a core
 * @param uses what each share has in use there; empty where no shares are configured
 */
public record HeldShard(FailureDomain domain, FencingToken token, long freeMilliCores, ImmutableList<ShareUse> uses) {
    /** Checks the parts. */
    public HeldShard {
        checkNotNull(domain, "domain");
        checkNotNull(token, "token");
        checkNotNull(uses, "uses");
    }

    /** Creates a shard without shares. */
    public HeldShard(FailureDomain domain, FencingToken token, long freeMilliCores) {
        this(domain, token, freeMilliCores, ImmutableList.of());
    }
}
