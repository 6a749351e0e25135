package org.tarragonarch.entry.caller;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.model.id.SubmissionId;

/** Builds complete answers from results without changing the bytes of the results. */
final class CompleteJson {
    private CompleteJson() {}

    static byte[] bytes(SubmissionForm form, SubmissionId id, ImmutableList<byte[]> results) {
        boolean job = form == SubmissionForm.JOB;
        // An id contains no character that JSON escapes.
        byte[] head = ascii("{\"outcome\":\"complete\",\"id\":\"" + id + (job ? "\",\"results\":[" : "\",\"result\":"));
        byte[] tail = ascii(job ? "]}" : "}");
        int length = head.length + tail.length + Math.max(0, results.size() - 1);
        for (byte[] result : results) {
            length = Math.addExact(length, result.length);
        }
        ByteBuffer answer = ByteBuffer.allocate(length).put(head);
        for (int i = 0; i < results.size(); i++) {
            if (i > 0) {
                answer.put((byte) ',');
            }
            answer.put(results.get(i));
        }
        return answer.put(tail).array();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
