package org.tarragonarch.entry.catalog;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonarch.model.id.ContentDigest;

/**
 * An immutable table from token digests to the holders of the tokens.
 *
 * <p>Lookup uses a prefix of the digest and then compares the whole digest in constant time. The duration of the lookup
 * can only reveal a digest prefix; to exploit that, an attacker would need tokens with chosen SHA-256 digests.
 *
 * @param <T> the holder of a token
 */
final class TokenTable<T> {
    private static final int PREFIX_LENGTH = 16;

    private final ImmutableMap<String, Entry<T>> byPrefix;

    private TokenTable(ImmutableMap<String, Entry<T>> byPrefix) {
        this.byPrefix = byPrefix;
    }

    static <T> TokenTable<T> of(Iterable<T> holders, Function<T, ContentDigest> digest) {
        Map<String, Entry<T>> entries = new LinkedHashMap<>();
        for (T holder : holders) {
            String hex = digest.apply(holder).hex();
            entries.put(hex.substring(0, PREFIX_LENGTH), new Entry<>(bytes(hex), holder));
        }
        return new TokenTable<>(ImmutableMap.copyOf(entries));
    }

    Optional<T> find(ContentDigest token) {
        Entry<T> entry = byPrefix.get(token.hex().substring(0, PREFIX_LENGTH));
        if (entry == null || !MessageDigest.isEqual(entry.digest, bytes(token.hex()))) {
            return Optional.empty();
        }
        return Optional.of(entry.holder);
    }

    private static byte[] bytes(String hex) {
        return hex.getBytes(StandardCharsets.US_ASCII);
    }

    private record Entry<T>(byte[] digest, T holder) {}
}
