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
     * Inserts each claim whose key has none yet, all in one call; a claim whose key is taken doesn't affect the others.
     *
     * @return for each key, the claim that the store now has
     * @throws PlatformException if the call fails; see {@link PlatformException#mayHaveApplied}
     */
    ImmutableMap<ClaimKey, Claim> insertIfAbsent(List<Claim> claims) throws PlatformException;

    /**
     * Reads the claims of the given keys in one call.
     *
     * @return the claims by key, without the keys that have none
     * @throws PlatformException if the call fails
     */
    ImmutableMap<ClaimKey, Claim> read(ImmutableList<ClaimKey> keys) throws PlatformException;

    /**
     * Deletes a claim if the stored claim has the same token.
     *
     * @throws PlatformException if the call fails
     */
    void release(Claim claim) throws PlatformException;

    /**
     * Deletes all claims inserted longer ago than the given time.
     *
     * @return the number of claims deleted
     * @throws PlatformException if the call fails
     */
    int sweep(Duration olderThan) throws PlatformException;
}
