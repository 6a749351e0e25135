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

/** The traces of one run of a scenario: a file for each run of each node. */
final class TraceFolder implements AutoCloseable {
    private final Path folder;
    private final List<TraceWriter> writers = new ArrayList<>();

    TraceFolder(Path folder) {
        this.folder = folder;
    }

    /** Starts the trace of one run of a node. */
    EventRecorder start(TraceHeader made) {
        Path file =
                folder.resolve(fileName(made.identity().node(), made.identity().incarnation()));
        try {
            TraceWriter writer = TraceWriter.start(file, made);
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
