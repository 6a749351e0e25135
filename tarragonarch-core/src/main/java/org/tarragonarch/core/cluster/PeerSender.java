package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;

/** Sends messages to the other nodes; each message arrives once or not at all. */
public interface PeerSender {
    /** Sends this node's status to one node. */
    void sendStatus(NodeId to, NodeStatus status);

    /** Sends this node's status to every node that was ever known, reachable or not, since it may have returned. */
    void sendStatusToAll(NodeStatus status);

    /** Sends this node's status to every node of these failure domains that was ever known. */
    void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status);

    /** Offers a job to a holder. */
    void sendOffer(NodeId to, Offer offer);

    /** Withdraws an offered job. */
    void sendWithdrawal(NodeId to, JobId job);

    /** Sends the verdict on a job to the node that offered it. */
    void sendVerdict(NodeId to, JobVerdict verdict);

    /** Tells a node that has offered a job that a client has cancelled it. */
    void sendCancellation(NodeId to, JobId job);
}
