/**
 * The protocol between entry nodes: typed frames in MessagePack over TCP, and the connections that carry them.
 *
 * <p>The entry point is {@link org.tarragonarch.wire.PeerNetwork}. Each connection starts with a
 * {@link org.tarragonarch.wire.Hello} from both ends and carries no other frame until both have been checked.
 */
package org.tarragonarch.wire;
