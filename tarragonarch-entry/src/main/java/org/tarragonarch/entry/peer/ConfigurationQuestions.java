package org.tarragonarch.entry.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tarragonarch.core.action.LoadConfiguration;
import org.tarragonarch.model.id.NodeId;

/** The open questions of this node for configurations, at most one for each peer. Thread-safe. */
final class ConfigurationQuestions {
    private final ConcurrentMap<NodeId, Open> open = new ConcurrentHashMap<>();

    /** Adds a question and returns the earlier open question to the same peer, which it replaces. */
    Optional<LoadConfiguration> add(NodeId peer, LoadConfiguration wanted, long nowNanos) {
        return Optional.ofNullable(open.put(peer, new Open(wanted, nowNanos))).map(Open::wanted);
    }

    Optional<LoadConfiguration> remove(NodeId peer) {
        return Optional.ofNullable(open.remove(peer)).map(Open::wanted);
    }

    /** Removes and returns the questions that were asked before a time of {@link System#nanoTime}. */
    ImmutableList<LoadConfiguration> removeAskedBefore(long nanos) {
        return open.entrySet().stream()
                .filter(entry -> entry.getValue().askedNanos - nanos < 0)
                .filter(entry -> open.remove(entry.getKey(), entry.getValue()))
                .map(entry -> entry.getValue().wanted)
                .collect(ImmutableList.toImmutableList());
    }

    private record Open(LoadConfiguration wanted, long askedNanos) {}
}
