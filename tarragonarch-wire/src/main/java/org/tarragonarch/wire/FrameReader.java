package org.tarragonarch.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the values of one frame within bounds.
 *
 * <p>MessagePack gives a length before the bytes, and its library allocates what the length says. A frame of ten bytes
 * could so ask for two gigabytes; every length is therefore checked against the bytes that are left.
 */
final class FrameReader {
    private final String peer;
    private final MessageUnpacker unpacker;
    private final int length;

    FrameReader(String peer, byte[] bytes) {
        this.peer = peer;
        this.unpacker = MessagePack.newDefaultUnpacker(bytes);
        this.length = bytes.length;
    }

    int readInt() throws MalformedFrameException {
        return read(unpacker::unpackInt);
    }

    long readLong() throws MalformedFrameException {
        return read(unpacker::unpackLong);
    }

    boolean readBoolean() throws MalformedFrameException {
        return read(unpacker::unpackBoolean);
    }

    String readText() throws MalformedFrameException {
        int size = read(unpacker::unpackRawStringHeader);
        return new String(readBytes(size), StandardCharsets.UTF_8);
    }

    Payload readPayload() throws MalformedFrameException {
        int size = read(unpacker::unpackBinaryHeader);
        return Payload.of(readBytes(size));
    }

    /** Reads the number of elements that follow, each of which takes at least one byte. */
    int readCount() throws MalformedFrameException {
        int count = read(unpacker::unpackArrayHeader);
        checkWithin(count);
        return count;
    }

    <E extends Enum<E>> E readEnum(Class<E> type) throws MalformedFrameException {
        E[] constants = type.getEnumConstants();
        int ordinal = readInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw malformed(ordinal + " is no " + type.getSimpleName());
        }
        return constants[ordinal];
    }

    void checkFullyRead() throws MalformedFrameException {
        if (unpacker.getTotalReadBytes() != length) {
            throw malformed((length - unpacker.getTotalReadBytes()) + " bytes too many");
        }
    }

    MalformedFrameException malformed(String message) {
        return new MalformedFrameException(peer, message);
    }

    MalformedFrameException malformed(String message, Throwable cause) {
        return new MalformedFrameException(peer, message, cause);
    }

    private byte[] readBytes(int size) throws MalformedFrameException {
        checkWithin(size);
        return read(() -> unpacker.readPayload(size));
    }

    private void checkWithin(int size) throws MalformedFrameException {
        long left = length - unpacker.getTotalReadBytes();
        if (size < 0 || size > left) {
            throw malformed("a length of " + size + " with " + left + " bytes left");
        }
    }

    private <T> T read(Value<T> value) throws MalformedFrameException {
        try {
            return value.read();
        } catch (IOException | MessagePackException e) {
            throw malformed("unreadable value: " + e.getMessage(), e);
        }
    }

    /** One read of the library. */
    @FunctionalInterface
    private interface Value<T> {
        T read() throws IOException;
    }
}
