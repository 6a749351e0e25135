package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;

/** Bytes that a frame carries and does not look into; equal where the bytes are equal. */
public final class Payload {
    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = checkNotNull(bytes, "bytes");
    }

    /** Returns a payload of these bytes, which are not copied and must not change any more. */
    public static Payload of(byte[] bytes) {
        return new Payload(bytes);
    }

    /** Returns the bytes themselves, which must not be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns how many bytes there are. */
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
