package org.tarragonarch.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.annotations.Test;

public final class CompressedTextTest {
    @Test
    public void testDecompress_roundTrip() throws IOException {
        byte[] text = "{\"teams\":{}}".repeat(1_000).getBytes(StandardCharsets.UTF_8);
        byte[] compressed = CompressedText.compress(text);
        assertTrue(compressed.length < text.length / 10, compressed.length + " bytes");
        assertEquals(CompressedText.decompress(compressed), text);
    }

    /** Guards against a damaged object that fills the memory of a node or is accepted in part. */
    @Test
    public void testDecompress_damagedObject() {
        byte[] compressed = CompressedText.compress("{\"teams\":{}}".getBytes(StandardCharsets.UTF_8));
        assertThrows(
                IOException.class, () -> CompressedText.decompress(Arrays.copyOf(compressed, compressed.length - 4)));
        assertThrows(IOException.class, () -> CompressedText.decompress(new byte[] {1, 2, 3}));
        byte[] tooLong = CompressedText.compress(new byte[(16 << 20) + 1]);
        assertThrows(IOException.class, () -> CompressedText.decompress(tooLong));
    }
}
