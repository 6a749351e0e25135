package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies a submission: a request or a job that arrived at one incarnation of a node.
 *
 * <p>The incarnation is part of the id, so an answer for an earlier incarnation of a node never matches a submission of
 * the current one.
 *
 * @param node the node that owns the submission
 * @param incarnation the incarnation of that node
 * @param sequence the number of the submission within the incarnation
 */
public record SubmissionId(NodeId node, Incarnation incarnation, long sequence) {
    /** Checks that no component is null and the sequence number is not negative. */
    public SubmissionId {
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkArgument(sequence >= 0, "sequence %s is negative", sequence);
    }

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is not an id
     */
    public static SubmissionId parse(String text) {
        String[] parts = text.split("_", -1);
        checkArgument(parts.length == 3, "'%s' is not a submission id", text);
        return new SubmissionId(
                NodeId.of(parts[0]), Incarnation.of(Long.parseLong(parts[1])), Long.parseLong(parts[2]));
    }

    /** Returns the text form, {@code node_incarnation_sequence}. */
    @Override
    public String toString() {
        return node + "_" + incarnation + "_" + sequence;
    }
}
