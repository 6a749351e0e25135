package org.tarragonarch.platform;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses texts for the object store with gzip.
 *
 * <p>A configuration of hundreds of teams is changed thousands of times a day, and every node loads each version.
 * Uncompressed, the texts alone would exceed the control traffic that a node is allowed.
 */
final class CompressedText {
    /** More than any configuration needs; limits the memory that a damaged object can take up on a node. */
    private static final int MAX_BYTES = 16 << 20;

    private CompressedText() {}

    static byte[] compress(byte[] text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot compress to a byte array", e);
        }
        return compressed.toByteArray();
    }

    /**
     * Returns the original text.
     *
     * @throws IOException if the bytes are not a compressed text or the text is too long
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] text = gzip.readNBytes(MAX_BYTES + 1);
            if (text.length > MAX_BYTES) {
                throw new IOException("the text is longer than " + MAX_BYTES + " bytes");
            }
            return text;
        }
    }
}
