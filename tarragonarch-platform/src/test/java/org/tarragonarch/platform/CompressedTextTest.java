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
        byte[] packed = CompressedText.compress(text);
        assertTrue(packed.length < text.length / 10, packed.length + " bytes");
        assertEquals(CompressedText.decompress(packed), text);
    }

    /** An object is damaged in the store. A node must refuse it, and neither fill its memory nor take half of it. */
    @Test
    public void testDecompress_damagedObject() {
        byte[] packed = CompressedText.compress("{\"teams\":{}}".getBytes(StandardCharsets.UTF_8));
        assertThrows(IOException.class, () -> CompressedText.decompress(Arrays.copyOf(packed, packed.length - 4)));
        assertThrows(IOException.class, () -> CompressedText.decompress(new byte[] {1, 2, 3}));
        byte[] endless = CompressedText.compress(new byte[(16 << 20) + 1]);
        assertThrows(IOException.class, () -> CompressedText.decompress(endless));
    }
}
