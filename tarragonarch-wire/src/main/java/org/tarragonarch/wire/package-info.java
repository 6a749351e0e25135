/**
 * What entry nodes say to each other: typed frames of MessagePack over TCP, and the connections that carry them.
 *
 * <p>{@link org.tarragonarch.wire.PeerNetwork} is the one door. A connection opens with a
 * {@link org.tarragonarch.wire.Hello} from both ends and carries nothing else before both have been checked.
 */
package org.tarragonarch.wire;
