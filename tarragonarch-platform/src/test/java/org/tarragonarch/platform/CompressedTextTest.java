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
    public void testUnpack_givesBackWhatWasPacked() throws IOException {
        byte[] text = "{\"teams\":{}}".repeat(1_000).getBytes(StandardCharsets.UTF_8);
        byte[] packed = CompressedText.pack(text);
        assertTrue(packed.length < text.length / 10, packed.length + " bytes");
        assertEquals(CompressedText.unpack(packed), text);
    }

    /** An object is damaged in the store. A node must refuse it, and neither fill its memory nor take half of it. */
    @Test
    public void testUnpack_damagedObject() {
        byte[] packed = CompressedText.pack("{\"teams\":{}}".getBytes(StandardCharsets.UTF_8));
        assertThrows(IOException.class, () -> CompressedText.unpack(Arrays.copyOf(packed, packed.length - 4)));
        assertThrows(IOException.class, () -> CompressedText.unpack(new byte[] {1, 2, 3}));
        byte[] endless = CompressedText.pack(new byte[(16 << 20) + 1]);
        assertThrows(IOException.class, () -> CompressedText.unpack(endless));
    }
}
