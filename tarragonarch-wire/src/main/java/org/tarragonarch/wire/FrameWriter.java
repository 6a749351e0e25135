package org.tarragonarch.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes the values of one frame into a byte array. */
final class FrameWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    FrameWriter writeInt(int value) {
        return write(() -> packer.packInt(value));
    }

    FrameWriter writeLong(long value) {
        return write(() -> packer.packLong(value));
    }

    FrameWriter writeBoolean(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    FrameWriter writeText(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        write(() -> packer.packRawStringHeader(bytes.length));
        return write(() -> packer.writePayload(bytes));
    }

    FrameWriter writePayload(Payload value) {
        write(() -> packer.packBinaryHeader(value.length()));
        return write(() -> packer.writePayload(value.bytes()));
    }

    FrameWriter writeCount(int count) {
        return write(() -> packer.packArrayHeader(count));
    }

    FrameWriter writeEnum(Enum<?> value) {
        return writeInt(value.ordinal());
    }

    byte[] toByteArray() {
        return packer.toByteArray();
    }

    private FrameWriter write(ValueWriter writer) {
        try {
            writer.write();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a frame value", e);
        }
    }

    /** Writes one value or header to the packer. */
    @FunctionalInterface
    private interface ValueWriter {
        void write() throws IOException;
    }
}
