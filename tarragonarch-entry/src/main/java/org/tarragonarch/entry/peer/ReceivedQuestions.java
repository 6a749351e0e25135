package org.tarragonarch.entry.peer;

import com.google.common.collect.BiMap;
import com.google.common.collect.HashBiMap;
import java.util.Optional;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The open questions of other nodes to this node, each under a number assigned by this node. Thread-safe.
 *
 * <p>A peer's own numbers start again with each incarnation. With them, the answer to a question of an earlier
 * incarnation could reach a caller of the later one.
 */
final class ReceivedQuestions {
    private static final int MAX_OPEN = 10_000;

    private final BiMap<Long, Received> open = HashBiMap.create();
    private long last;

    /** Adds a question and returns its number; empty if the question is already open or too many are open. */
    synchronized Optional<Long> add(Received question) {
        if (open.size() >= MAX_OPEN || open.containsValue(question)) {
            return Optional.empty();
        }
        open.put(++last, question);
        return Optional.of(last);
    }

    synchronized Optional<Received> remove(long number) {
        return Optional.ofNullable(open.remove(number));
    }

    record Received(NodeId peer, Incarnation incarnation, long question) {}
}
