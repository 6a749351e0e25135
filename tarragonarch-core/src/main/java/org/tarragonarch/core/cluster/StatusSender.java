package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.DrainedDomains;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.Timers;

/** Composes this node's status and sends it to the peers that {@link Heartbeats} selects. */
final class StatusSender {
    private final Member self;
    private final Heartbeats heartbeats;
    private final Supplier<ImmutableList<HeldShard>> held;
    private final PeerTable peers;
    private final ReceivedEchoes echoes;
    private final PeerSender sender;
    private final Timers timers;
    private boolean isLeaving;
    private long configurationVersion;
    private DrainedDomains drained = DrainedDomains.UNREAD;

    /**
     * Creates the sender of a node that is not leaving and has read neither a configuration nor drained domains.
     *
     * @param held returns the shards that this node holds
     * @param echoes numbers the statuses
     */
    StatusSender(
            Member self,
            Heartbeats heartbeats,
            Supplier<ImmutableList<HeldShard>> held,
            PeerTable peers,
            ReceivedEchoes echoes,
            PeerSender sender,
            Timers timers) {
        this.self = self;
        this.heartbeats = heartbeats;
        this.held = held;
        this.peers = peers;
        this.echoes = echoes;
        this.sender = sender;
        this.timers = timers;
    }

    /** Returns whether this node is about to stop. */
    boolean isLeaving() {
        return isLeaving;
    }

    /** Marks this node as about to stop. */
    void markLeaving() {
        isLeaving = true;
    }

    /** Sets the version of the configuration in force. */
    void updateConfigurationVersion(long version) {
        configurationVersion = version;
    }

    /** Returns the failure domains that this node knows to be drained. */
    DrainedDomains drained() {
        return drained;
    }

    /** Sets the failure domains that are drained. */
    void drained(DrainedDomains reading) {
        drained = reading;
    }

    /** Returns the current status. */
    NodeStatus status() {
        return new NodeStatus(
                self.node(),
                self.domain(),
                self.address(),
                self.milliCores(),
                isLeaving,
                heartbeats.isMissingHolder(),
                configurationVersion,
                drained,
                held.get());
    }

    /** Returns the current status with the next number, to be sent. */
    private NodeStatus numberedStatus() {
        return status().withNumber(echoes.next(), peers.lastNumbersOfHolders());
    }

    /** Sends the status to one peer. */
    void sendTo(NodeId peer) {
        sender.sendStatus(peer, numberedStatus());
    }

    /** Sends the status to the peers to which it is due. */
    void sendDue() {
        send(heartbeats.takeDueAudience(timers.nowMillis()));
    }

    /** Sends the status to the present audience outside its period; the next period begins now. */
    void sendNow() {
        sendNow(heartbeats.changeAudience());
    }

    /** Sends the status to the given audience outside its period; the next period begins now. */
    void sendNow(Heartbeats.Audience audience) {
        heartbeats.recordSent(audience, timers.nowMillis());
        send(audience);
    }

    private void send(Heartbeats.Audience audience) {
        if (audience == Heartbeats.Audience.NOBODY) {
            return;
        }
        NodeStatus status = numberedStatus();
        ImmutableSet<FailureDomain> neighbours = heartbeats.neighbourDomains();
        switch (audience) {
            case FREQUENT -> heartbeats.frequentRecipients().forEach(peer -> sender.sendStatus(peer, status));
            case NEIGHBOURS -> {
                sender.sendStatusToDomains(neighbours, status);
                heartbeats.frequentRecipientsOutside(neighbours).forEach(peer -> sender.sendStatus(peer, status));
            }
            case ALL -> {
                // Only holders need to know which of their statuses have arrived.
                sender.sendStatusToAll(status.withNumber(status.number(), ImmutableMap.of()));
                status.received().keySet().forEach(holder -> sender.sendStatus(holder, status));
            }
            default -> throw new AssertionError(audience);
        }
    }
}
