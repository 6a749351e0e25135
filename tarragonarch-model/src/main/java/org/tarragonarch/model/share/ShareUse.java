package org.tarragonarch.model.share;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a share has in use on the endpoints of one failure domain.
 *
 * @param share the share
 * @param milliCores the processor time of its runs under way, in thousandths of a core
 */
public record ShareUse(ShareId share, long milliCores) {
    /** Checks the parts. */
    public ShareUse {
        checkNotNull(share, "share");
    }
}
