package org.tarragonarch.entry.body;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/** The inputs and results of one submission. Methods that change them return the number of bytes added or removed. */
final class StoredSubmission {
    private final ServiceName service;
    private final KindName kind;
    private final int tasks;
    private ImmutableList<byte[]> inputs;
    private byte[][] results;
    private long inputBytes;
    private long resultBytes;
    private boolean closed;

    StoredSubmission(SubmissionContent content, long inputBytes) {
        this.service = content.service();
        this.kind = content.kind();
        this.inputs = content.inputs();
        this.tasks = inputs.size();
        this.inputBytes = inputBytes;
        this.results = new byte[tasks][];
    }

    synchronized Optional<TaskContent> task(int index) {
        return index < inputs.size()
                ? Optional.of(new TaskContent(service, kind, inputs.get(index)))
                : Optional.empty();
    }

    synchronized long putResult(int index, byte[] result) {
        if (closed || index >= tasks || results[index] != null) {
            return 0;
        }
        results[index] = result;
        resultBytes += result.length;
        return result.length;
    }

    synchronized long putResults(ImmutableList<byte[]> all) {
        if (closed || all.size() != tasks) {
            return 0;
        }
        long before = resultBytes;
        results = all.toArray(new byte[0][]);
        resultBytes = BodyStore.size(all);
        return resultBytes - before;
    }

    synchronized Optional<ImmutableList<byte[]>> results() {
        for (byte[] result : results) {
            if (result == null) {
                return Optional.empty();
            }
        }
        return closed ? Optional.empty() : Optional.of(ImmutableList.copyOf(results));
    }

    synchronized long removeInputs() {
        long removed = inputBytes;
        inputs = ImmutableList.of();
        inputBytes = 0;
        return removed;
    }

    // A result may arrive while another thread removes the submission. Results are ignored after this call, so that the
    // byte count of the store stays correct.
    synchronized long close() {
        closed = true;
        long removed = inputBytes + resultBytes;
        inputBytes = 0;
        resultBytes = 0;
        return removed;
    }
}
