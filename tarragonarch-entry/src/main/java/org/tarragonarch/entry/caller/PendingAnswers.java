package org.tarragonarch.entry.caller;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import com.google.common.collect.SetMultimap;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.SubmissionId;

/** The callers who wait for an answer, by submission and by their own request ids. Safe for use by several threads. */
final class PendingAnswers {
    private final ConcurrentMap<SubmissionId, PendingAnswer> byId = new ConcurrentHashMap<>();
    private final SetMultimap<RequestKey, SubmissionId> byRequestId =
            Multimaps.synchronizedSetMultimap(HashMultimap.create());

    void add(SubmissionId id, PendingAnswer pending) {
        byId.put(id, pending);
        pending.requestId().ifPresent(text -> byRequestId.put(new RequestKey(pending.caller(), text), id));
    }

    /** Takes a caller out; only the first call for an id finds one, so no answer is given twice. */
    Optional<PendingAnswer> remove(SubmissionId id) {
        PendingAnswer pending = byId.remove(id);
        if (pending == null) {
            return Optional.empty();
        }
        pending.requestId().ifPresent(text -> byRequestId.remove(new RequestKey(pending.caller(), text), id));
        return Optional.of(pending);
    }

    /** Returns the submissions that a caller sent under its own request id and that have no answer yet. */
    ImmutableSet<SubmissionId> findByRequestId(CallerName caller, String requestId) {
        synchronized (byRequestId) {
            return ImmutableSet.copyOf(byRequestId.get(new RequestKey(caller, requestId)));
        }
    }

    int size() {
        return byId.size();
    }

    private record RequestKey(CallerName caller, String requestId) {}
}
