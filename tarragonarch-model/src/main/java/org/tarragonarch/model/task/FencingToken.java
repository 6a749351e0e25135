package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.InetAddresses;

/**
 * A number that orders the holders of an endpoint, which obeys no token lower than the highest it has seen.
 *
 * @param value the token; its upper 32 bits are the term, its lower 32 bits the IPv4 address of the holder, so that two
 *     nodes never use the same token
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    private static final int ADDRESS_BITS = 32;
    private static final long ADDRESS_MASK = 0xFFFF_FFFFL;

    /** Checks that the token is positive. */
    public FencingToken {
        checkArgument(value > 0, "token %s is not positive", value);
    }

    /** Returns the token of a node in a term. */
    public static FencingToken of(long term, String ip) {
        checkArgument(term > 0 && term < 1L << (ADDRESS_BITS - 1), "term %s is out of range", term);
        long address = InetAddresses.coerceToInteger(InetAddresses.forString(ip)) & ADDRESS_MASK;
        return new FencingToken(term << ADDRESS_BITS | address);
    }

    /** Returns the term. */
    public long term() {
        return value >>> ADDRESS_BITS;
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return term() + "/"
                + InetAddresses.fromInteger((int) (value & ADDRESS_MASK)).getHostAddress();
    }
}
