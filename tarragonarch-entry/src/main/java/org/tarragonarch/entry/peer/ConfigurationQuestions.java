package org.tarragonarch.entry.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.model.id.NodeId;

/** The configurations that this node has asked others for. Safe for use by several threads. */
final class ConfigurationQuestions {
    private final ConcurrentMap<NodeId, Open> open = new ConcurrentHashMap<>();

    /** Notes a question; returns an earlier one to the same peer that it takes the place of. */
    Optional<LoadConfiguration> add(NodeId peer, LoadConfiguration wanted, long nowNanos) {
        return Optional.ofNullable(open.put(peer, new Open(wanted, nowNanos))).map(Open::wanted);
    }

    Optional<LoadConfiguration> remove(NodeId peer) {
        return Optional.ofNullable(open.remove(peer)).map(Open::wanted);
    }

    /** Takes out the questions that were put before a time. */
    ImmutableList<LoadConfiguration> removeAskedBefore(long nanos) {
        return open.entrySet().stream()
                .filter(entry -> entry.getValue().askedNanos - nanos < 0)
                .filter(entry -> open.remove(entry.getKey(), entry.getValue()))
                .map(entry -> entry.getValue().wanted)
                .collect(ImmutableList.toImmutableList());
    }

    private record Open(LoadConfiguration wanted, long askedNanos) {}
}
