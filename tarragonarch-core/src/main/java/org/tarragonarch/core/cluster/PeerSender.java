package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;

/** The way to the other nodes; each message arrives once or not at all. */
public interface PeerSender {
    /** Sends one node this node's status. */
    void sendStatus(NodeId to, NodeStatus status);

    /** Sends it to every node that was ever known, since it may be back. */
    void sendStatusToAll(NodeStatus status);

    /** Sends it to every node of these failure domains that was ever known. */
    void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status);

    /** Offers a job to a holder. */
    void sendOffer(NodeId to, Offer offer);

    /** Takes an offer back. */
    void sendWithdrawal(NodeId to, JobId job);

    /** Notifies the node that offered a job of its verdict. */
    void sendVerdict(NodeId to, JobId job, Verdict verdict, long retryMillis);
}
