package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;

/** A sender that appends a line to a list for each message and delivers none. */
final class RecordingPeerSender implements PeerSender {
    private final List<String> sent;

    RecordingPeerSender(List<String> sent) {
        this.sent = sent;
    }

    @Override
    public void sendStatus(NodeId to, NodeStatus status) {
        sent.add("status to " + to);
    }

    @Override
    public void sendStatusToAll(NodeStatus status) {
        sent.add("status to all, " + status.shards().size() + " shards" + (status.leaving() ? ", leaving" : ""));
    }

    @Override
    public void sendStatusToDomains(ImmutableSet<FailureDomain> domains, NodeStatus status) {
        sent.add("status to " + domains);
    }

    @Override
    public void sendOffer(NodeId to, Offer offer) {
        sent.add("offer to " + to);
    }

    @Override
    public void sendWithdrawal(NodeId to, JobId job) {
        sent.add("withdrawal to " + to);
    }

    @Override
    public void sendVerdict(NodeId to, JobVerdict verdict) {
        sent.add(verdict.verdict() + " to " + to);
    }

    @Override
    public void sendCancellation(NodeId to, JobId job) {
        sent.add("cancellation to " + to);
    }
}
