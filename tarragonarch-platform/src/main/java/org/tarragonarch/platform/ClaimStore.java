package org.tarragonarch.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.platform.Claim;

/** Claims on idempotency keys, kept as rows of the table service. Calls block for at most the client's timeout. */
public interface ClaimStore {
    /**
     * Inserts each claim if its key is absent, all in one write; one that finds its key taken does not hold up others.
     *
     * @return for each key, the claim that stands there now
     * @throws PlatformException if no reply came; see {@link PlatformException#mayHaveApplied}
     */
    ImmutableMap<ClaimKey, Claim> insertIfAbsent(List<Claim> claims) throws PlatformException;

    /**
     * Reads what stands under some keys, in one read.
     *
     * @return the claims that stand there; keys without one are missing
     * @throws PlatformException if no reply came
     */
    ImmutableMap<ClaimKey, Claim> read(ImmutableList<ClaimKey> keys) throws PlatformException;

    /**
     * Deletes a claim if it still carries the same token.
     *
     * @throws PlatformException if no reply came
     */
    void release(Claim claim) throws PlatformException;

    /**
     * Deletes claims in bulk that were inserted longer ago than this.
     *
     * @return how many were deleted
     * @throws PlatformException if no reply came
     */
    int sweep(Duration olderThan) throws PlatformException;
}
