package org.tarragonarch.entry.body;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/** The bodies of one submission; every method that changes what is kept returns by how many bytes. */
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
        long dropped = inputBytes;
        inputs = ImmutableList.of();
        inputBytes = 0;
        return dropped;
    }

    // A result may arrive while another thread drops the submission; once closed nothing more is kept, so that the sum
    // of bytes comes back to where it was.
    synchronized long close() {
        closed = true;
        long dropped = inputBytes + resultBytes;
        inputBytes = 0;
        resultBytes = 0;
        return dropped;
    }
}
