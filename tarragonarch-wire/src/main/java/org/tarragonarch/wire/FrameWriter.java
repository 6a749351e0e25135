package org.tarragonarch.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the values of one frame into memory. */
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

    private FrameWriter write(Step step) {
        try {
            step.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
    }

    /** One write of the library. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }
}
