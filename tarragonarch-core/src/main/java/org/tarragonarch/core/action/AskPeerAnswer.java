package org.tarragonarch.core.action;

import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.SubmissionId;

/**
 * Ask the node that holds a key for its answer, and report one {@code PeerAnswerArrived}.
 *
 * @param peer the node that holds the key
 * @param waiting the submission of this node that waits
 * @param key the key
 */
public record AskPeerAnswer(NodeId peer, SubmissionId waiting, ClaimKey key) implements Action {}
