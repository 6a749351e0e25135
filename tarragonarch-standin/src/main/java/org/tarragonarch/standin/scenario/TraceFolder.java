package org.tarragonarch.standin.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.trace.TraceHeader;
import org.tarragonarch.entry.trace.TraceWriter;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/** The folder of the traces of one run of a scenario: one file for each run of each node. */
final class TraceFolder implements AutoCloseable {
    private final Path folder;
    private final List<TraceWriter> writers = new ArrayList<>();

    TraceFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts the trace of one run of a node.
     *
     * @throws UncheckedIOException if the file cannot be written
     */
    EventRecorder start(TraceHeader header) {
        Path file = folder.resolve(
                fileName(header.identity().node(), header.identity().incarnation()));
        try {
            TraceWriter writer = TraceWriter.start(file, header);
            writers.add(writer);
            return writer;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String fileName(NodeId node, Incarnation run) {
        return node + "_" + run + ".jsonl";
    }

    @Override
    public void close() {
        writers.forEach(TraceWriter::close);
    }
}
