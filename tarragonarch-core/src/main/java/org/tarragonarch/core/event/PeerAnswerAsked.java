package org.tarragonarch.core.event;

import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;

/**
 * Another node lost a claim to this one and asks for the answer that this node gives under the key.
 *
 * @param peer the asking node
 * @param question the number that the peer gave its question
 * @param key the claimed key
 */
public record PeerAnswerAsked(NodeId peer, long question, ClaimKey key) implements Event {}
