package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.util.regex.Pattern;

/**
 * A SHA-256 digest.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentDigest(String hex) {
    private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

    /** Checks that the text is 64 lower-case hexadecimal digits. */
    public ContentDigest {
        checkNotNull(hex, "hex");
        checkArgument(HEX.matcher(hex).matches(), "'%s' is not a SHA-256 digest", hex);
    }

    /** Returns the digest of the bytes. */
    public static ContentDigest of(byte[] bytes) {
        return new ContentDigest(Hashing.sha256().hashBytes(bytes).toString());
    }

    @Override
    public String toString() {
        return hex;
    }
}
