package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.FencingToken;

/**
 * A shard as reported by its holder.
 *
 * @param domain the failure domain of the endpoints
 * @param token the fencing token of the holder
 * @param freeMilliCores the free processor time of the endpoints, in thousandths of a core
 * @param uses the capacity in use by each share; empty if no shares are configured
 */
public record HeldShard(FailureDomain domain, FencingToken token, long freeMilliCores, ImmutableList<ShareUse> uses) {
    /** Checks that no component is null. */
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
