package org.tarragonarch.core.claim;

import org.tarragonarch.model.id.NodeId;

/**
 * A peer's question for the answer under a key.
 *
 * @param peer the asking node
 * @param question the peer's number for it
 */
record PeerQuestion(NodeId peer, long question) {}
