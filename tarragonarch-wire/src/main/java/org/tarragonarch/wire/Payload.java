package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;

/** Opaque bytes in a frame; two payloads are equal if their bytes are equal. */
public final class Payload {
    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = checkNotNull(bytes, "bytes");
    }

    /** Returns a payload that wraps the bytes without copying; they must not be modified afterwards. */
    public static Payload of(byte[] bytes) {
        return new Payload(bytes);
    }

    /** Returns the wrapped bytes without copying; they must not be modified. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the number of bytes. */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
