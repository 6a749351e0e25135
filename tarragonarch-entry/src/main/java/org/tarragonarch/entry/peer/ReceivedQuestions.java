package org.tarragonarch.entry.peer;

import com.google.common.collect.BiMap;
import com.google.common.collect.HashBiMap;
import java.util.Optional;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The questions that other nodes have put to this one, under numbers of this node.
 *
 * <p>A peer numbers its questions anew in each run, so its own number does not tell two runs apart: the answer to a
 * question of an earlier run would reach a caller of the later one. Safe for use by several threads.
 */
final class ReceivedQuestions {
    private static final int MAX_OPEN = 10_000;

    private final BiMap<Long, Received> open = HashBiMap.create();
    private long last;

    /** Returns this node's number for a question; empty if it came before and is open, or there are too many. */
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

    record Received(NodeId peer, Incarnation run, long question) {}
}
