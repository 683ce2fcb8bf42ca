package org.cicadahead.replication;

import java.util.function.Consumer;
import org.cicadahead.raft.Output;

/** Passes the outputs of consensus to the threads that write the log, apply entries and send snapshots. */
final class OutputSink implements ConsensusLoop.Sink {
    private final LogWriter writer;
    private final Applier applier;
    private final Snapshotter snapshotter;
    private final Consumer<Exception> failure;

    OutputSink(LogWriter writer, Applier applier, Snapshotter snapshotter, Consumer<Exception> failure) {
        this.writer = writer;
        this.applier = applier;
        this.snapshotter = snapshotter;
        this.failure = failure;
    }

    @Override
    public void write(Output output) {
        writer.write(output);
    }

    @Override
    public void apply(Output output) {
        if (output.installedSnapshot() != null) {
            applier.restore(output.installedSnapshot());
        }
        if (!output.committed().isEmpty()) {
            applier.apply(output.committed());
        }
    }

    @Override
    public void sendChunk(Output.ChunkSend chunk) {
        snapshotter.send(chunk);
    }

    @Override
    public void failed(Exception cause) {
        failure.accept(cause);
    }
}
