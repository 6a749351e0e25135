package org.tarragonarch.core.event;

import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;

/**
 * Another node lost a claim to this one and asks for the answer that this node gave or will give.
 *
 * @param peer the asking node
 * @param question the peer's number for its question
 * @param key the key claimed
 */
public record PeerAnswerAsked(NodeId peer, long question, ClaimKey key) implements Event {}
