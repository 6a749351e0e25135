package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;

/** Handles the frames that peers send to this node. */
interface PeerFrameHandler {
    void statusReceived(NodeStatus status);

    /**
     * Called when a connection with the latest incarnation of a peer has closed.
     *
     * @return whether the other connections with the peer must be replaced too
     */
    boolean connectionLost(NodeId peer);

    /** Called when the latest incarnation of a peer has no connection with this node and cannot be connected to. */
    void disconnected(NodeId peer);

    void offerReceived(Offer offer);

    /** Called when an offer could not be sent to a peer. */
    void offerUndelivered(NodeId peer, JobId job);

    /** Called when a holder sends its verdict on a job of this node's clients. */
    void verdictReceived(NodeId holder, JobVerdict verdict);

    void withdrawalReceived(NodeId peer, JobId job);

    /** Called when a newly connected peer sends the jobs that it has open at this node. */
    void openJobsReceived(NodeId peer, ImmutableSet<JobId> open);

    /** Returns the jobs of this node's clients that are open at a peer. */
    ImmutableSet<JobId> openJobsAt(NodeId peer);

    /** Returns the offers to send again to a peer on a new connection. */
    ImmutableList<Offer> offersToSendAgain(NodeId peer);

    /** Returns the handler of the frames that cancel jobs. */
    CancelFrameHandler cancellations();

    byte[] configurationText();

    long configurationVersion();

    void configurationReceived(NodeId peer, byte[] text);

    /** Returns the list of endpoints, for the frames that exchange it. */
    EndpointExchange endpointExchange();

    /** Called when a peer sends the nodes that it knows. */
    void nodesReceived(ImmutableList<Member> nodes);
}
