package org.tarragonarch.platform;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Texts as the object store keeps them, compressed by gzip.
 *
 * <p>A configuration of hundreds of teams is changed thousands of times a day, and every node loads each one; whole,
 * the texts alone would pass the bytes that control may cost a node.
 */
final class CompressedText {
    /** No configuration is larger; a damaged object must not fill the memory of a node. */
    private static final int MOST_BYTES = 16 << 20;

    private CompressedText() {}

    static byte[] compress(byte[] text) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(packed)) {
            gzip.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot be written", e);
        }
        return packed.toByteArray();
    }

    /**
     * Returns the text.
     *
     * @throws IOException if the bytes are not a packed text, or one that is too long
     */
    static byte[] decompress(byte[] packed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            byte[] text = gzip.readNBytes(MOST_BYTES + 1);
            if (text.length > MOST_BYTES) {
                throw new IOException("the text is longer than " + MOST_BYTES + " bytes");
            }
            return text;
        }
    }
}
