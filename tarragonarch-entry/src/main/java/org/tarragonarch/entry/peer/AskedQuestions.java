package org.tarragonarch.entry.peer;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.SubmissionId;

/** The unanswered questions of this node to its peers. Thread-safe. */
final class AskedQuestions {
    private final AtomicLong last = new AtomicLong();
    private final ConcurrentMap<Long, Asked> open = new ConcurrentHashMap<>();

    /** Adds a question and returns its number. */
    long add(NodeId peer, SubmissionId waiting, ClaimKey key) {
        long question = last.incrementAndGet();
        open.put(question, new Asked(peer, waiting, key));
        return question;
    }

    /** Removes and returns a question, if it is open and was sent to this peer. */
    Optional<Asked> remove(long question, NodeId peer) {
        Asked asked = open.get(question);
        return asked != null && asked.peer().equals(peer) && open.remove(question, asked)
                ? Optional.of(asked)
                : Optional.empty();
    }

    ImmutableMap<Long, Asked> open() {
        return ImmutableMap.copyOf(open);
    }

    record Asked(NodeId peer, SubmissionId waiting, ClaimKey key) {}
}
