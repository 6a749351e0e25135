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
 * Finds who holds a token.
 *
 * <p>Immutable. The table is looked up by the first digits of the token's digest and the rest is compared in constant
 * time. What the time of the lookup gives away is a part of a digest that the caller computed itself; to make use of it
 * one would have to find tokens with chosen SHA-256 digests.
 *
 * @param <T> what a token stands for
 */
final class TokenTable<T> {
    private static final int PREFIX = 16;

    private final ImmutableMap<String, Entry<T>> byPrefix;

    private TokenTable(ImmutableMap<String, Entry<T>> byPrefix) {
        this.byPrefix = byPrefix;
    }

    static <T> TokenTable<T> of(Iterable<T> holders, Function<T, ContentDigest> digest) {
        Map<String, Entry<T>> entries = new LinkedHashMap<>();
        for (T holder : holders) {
            String hex = digest.apply(holder).hex();
            entries.put(hex.substring(0, PREFIX), new Entry<>(bytes(hex), holder));
        }
        return new TokenTable<>(ImmutableMap.copyOf(entries));
    }

    Optional<T> find(ContentDigest token) {
        Entry<T> entry = byPrefix.get(token.hex().substring(0, PREFIX));
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
