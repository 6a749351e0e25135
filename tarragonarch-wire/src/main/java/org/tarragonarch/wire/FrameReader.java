package org.tarragonarch.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the values of one frame and checks every length against the remaining bytes.
 *
 * <p>MessagePack puts a length before the bytes of a value, and the library allocates that many bytes at once. Without
 * the check, a frame of ten bytes could cause an allocation of two gigabytes.
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

    /** Reads the number of elements that follow, each of which takes at least one byte, which bounds the number. */
    int readCount() throws MalformedFrameException {
        int count = read(unpacker::unpackArrayHeader);
        checkWithin(count);
        return count;
    }

    <E extends Enum<E>> E readEnum(Class<E> type) throws MalformedFrameException {
        E[] constants = type.getEnumConstants();
        int ordinal = readInt();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw malformed(ordinal + " is not an ordinal of " + type.getSimpleName());
        }
        return constants[ordinal];
    }

    /** Checks that no bytes follow the last value read. */
    void checkFullyRead() throws MalformedFrameException {
        if (unpacker.getTotalReadBytes() != length) {
            throw malformed((length - unpacker.getTotalReadBytes()) + " bytes after the end of the frame");
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
            throw malformed("length " + size + " with " + left + " bytes left");
        }
    }

    private <T> T read(ValueReader<T> reader) throws MalformedFrameException {
        try {
            return reader.read();
        } catch (IOException | MessagePackException e) {
            throw malformed("unreadable value: " + e.getMessage(), e);
        }
    }

    /** Reads one value from the unpacker. */
    @FunctionalInterface
    private interface ValueReader<T> {
        T read() throws IOException;
    }
}
