package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Verdict;

/** What frames of peers ask of this node. */
interface PeerCalls {
    void status(NodeStatus status);

    /** The last connection with the run of a peer that spoke last is closed. */
    void disconnected(NodeId peer);

    void offered(Offer offer);

    void offerNotSent(NodeId peer, JobId job);

    /** A holder gave its verdict on a job of this node's. */
    void verdictCame(NodeId holder, JobId job, Verdict verdict, long retryMillis);

    void withdrawn(NodeId peer, JobId job);

    /** A peer that has connected says which jobs it has open here. */
    void openJobs(NodeId peer, ImmutableSet<JobId> open);

    /** Returns the jobs of this node's clients that the peer has. */
    ImmutableSet<JobId> openJobsAt(NodeId peer);

    boolean cancelled(JobId job);

    void cancelAnswered(JobId job, boolean known);

    byte[] configurationText();

    long configurationVersion();

    void configurationGiven(NodeId peer, byte[] text);

    ImmutableList<EndpointEntry> endpoints();

    void endpointsGiven(ImmutableList<EndpointEntry> endpoints);

    /** A peer said where it knows nodes to be. */
    void nodesGiven(ImmutableList<Member> nodes);
}
