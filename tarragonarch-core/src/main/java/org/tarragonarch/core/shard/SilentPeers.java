package org.tarragonarch.core.shard;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.tarragonarch.model.id.FailureDomain;

/** What the peers that fell silent, and those that did not, show about the network. */
final class SilentPeers {
    /**
     * The time within which the last statuses of peers must have arrived for their loss to count as simultaneous.
     *
     * <p>It consists of the longest period between two statuses and the time after which silence counts as a loss.
     */
    private static final long SIMULTANEOUS_LOSS_MILLIS = PeerTable.DISTANT_PERIOD_MILLIS + PeerTable.SILENCE_MILLIS;

    /** A status that arrived this long after the last one of a silent holder was sent after the holder was lost. */
    private static final long CONFIRMATION_MILLIS = 2 * PeerTable.STATUS_PERIOD_MILLIS;

    /** The fewest simultaneous losses that indicate a partition rather than failures of single peers. */
    private static final int PARTITION_MIN_PEERS = 3;

    private final Collection<LastStatus> peers;

    SilentPeers(Collection<LastStatus> peers) {
        this.peers = peers;
    }

    /**
     * Returns whether so many peers fell silent together that this node appears to be partitioned from them.
     *
     * <p>Several nodes rarely fail together, while a partitioned node loses all its peers at about the same time. Peers
     * whose connections ended are not counted, since that indicates a killed process.
     */
    boolean arePartition() {
        return countLast(lost -> true) >= PARTITION_MIN_PEERS;
    }

    /**
     * Returns whether a holder fell silent and no reachable peer has sent a status since.
     *
     * <p>A partitioned node loses holders first, since their statuses are the most frequent. Peers that lose the holder
     * too send a status at once, so a status received after the loss shows that this node is not partitioned.
     */
    boolean isHolderLossUnconfirmed() {
        OptionalLong holderLastHeard = lastHeardMillis(
                last -> last.fellSilent() && !last.status().shards().isEmpty());
        OptionalLong peerLastHeard = lastHeardMillis(LastStatus::reachable);
        return holderLastHeard.isPresent()
                && peerLastHeard.isPresent()
                && peerLastHeard.getAsLong() <= holderLastHeard.getAsLong() + CONFIRMATION_MILLIS;
    }

    /** Returns whether a node of the failure domain is among the peers that fell silent last. */
    boolean hasLastOneIn(FailureDomain domain) {
        return countLast(lost -> lost.status().domain().equals(domain)) > 0;
    }

    /** Returns the number of matching peers among those that fell silent last, at about the same time. */
    private long countLast(Predicate<LastStatus> wanted) {
        OptionalLong lastReceived = lastHeardMillis(LastStatus::fellSilent);
        return peers.stream()
                .filter(last -> last.fellSilent()
                        && last.receivedAtMillis() >= lastReceived.orElseThrow() - SIMULTANEOUS_LOSS_MILLIS)
                .filter(wanted)
                .count();
    }

    /** Returns when the last status of the matching peers arrived, on the steady clock; empty if there is none. */
    private OptionalLong lastHeardMillis(Predicate<LastStatus> wanted) {
        return peers.stream()
                .filter(wanted)
                .mapToLong(LastStatus::receivedAtMillis)
                .max();
    }
}
