package org.tarragonarch.entry.http;

import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.tarragonarch.model.id.ContentDigest;

/** Extracts the digest of the bearer token of a request; the token itself is not kept. */
public final class BearerToken {
    private static final String SCHEME = "Bearer ";

    private BearerToken() {}

    /** Returns the SHA-256 digest of the token, if there is exactly one {@code Authorization} header and it has one. */
    public static Optional<ContentDigest> digest(Context context) {
        List<String> headers = context.header("Authorization").toList();
        String header = headers.size() == 1 ? headers.get(0) : "";
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        byte[] token = header.substring(SCHEME.length()).trim().getBytes(StandardCharsets.UTF_8);
        return Optional.of(ContentDigest.of(token));
    }
}
