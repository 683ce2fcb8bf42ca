package org.cicadahead.control;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.cicadahead.state.Claim;
import org.cicadahead.state.ConfigurationTable.ConfigurationImage;
import org.cicadahead.state.HistoryException;
import org.cicadahead.state.HistorySink;
import org.cicadahead.state.PoisonDigests.PoisonImage;
import org.cicadahead.state.ProgramImage;
import org.cicadahead.state.ProgramTable.ProgramsImage;
import org.cicadahead.state.StateImage;
import org.cicadahead.wire.Codec;
import org.cicadahead.wire.WireException;

/**
 * Writes and reads the tables and histories as a stream of length-prefixed MessagePack records, so that neither the
 * writer nor the reader holds the whole stream in memory. A record of length 0 ends a list.
 */
final class SnapshotCodec {
    private static final int FORMAT = 0x63690001;
    private static final int MAX_RECORD_BYTES = 256 * 1024 * 1024;

    private SnapshotCodec() {}

    static void write(StateImage image, HistoryStore.HistorySnapshot histories, OutputStream stream)
            throws IOException {
        DataOutputStream out = new DataOutputStream(stream);
        out.writeInt(FORMAT);
        writeRecord(out, new Header(image.lastFence(), image.lastMillis()));
        writeRecord(out, image.configuration());
        writeRecord(out, image.poison());
        writeRecord(
                out,
                new ProgramsImage(
                        List.of(),
                        image.programs().endedInOrder(),
                        image.programs().ended()));
        for (ProgramImage program : image.programs().programs()) {
            writeRecord(out, program);
        }
        out.writeInt(0);
        for (Claim claim : image.claims()) {
            writeRecord(out, claim);
        }
        out.writeInt(0);
        for (HistoryLocation step : histories.steps()) {
            byte[] record = step.read();
            out.writeInt(record.length);
            out.write(record);
        }
        out.writeInt(0);
        out.flush();
    }

    static StateImage read(InputStream stream, HistorySink histories) throws IOException {
        DataInputStream in = new DataInputStream(stream);
        int format = in.readInt();
        if (format != FORMAT) {
            throw new IOException("unknown snapshot format: " + Integer.toHexString(format));
        }
        Header header = readRecord(in, Header.class);
        ConfigurationImage configuration = readRecord(in, ConfigurationImage.class);
        PoisonImage poison = readRecord(in, PoisonImage.class);
        ProgramsImage endedLists = readRecord(in, ProgramsImage.class);
        List<ProgramImage> programs = readRecords(in, ProgramImage.class);
        List<Claim> claims = readRecords(in, Claim.class);
        for (StoredStep step = readRecord(in, StoredStep.class);
                step != null;
                step = readRecord(in, StoredStep.class)) {
            try {
                histories.append(step.program(), step.record());
            } catch (HistoryException e) {
                throw new IOException("cannot restore a history", e);
            }
        }
        return new StateImage(
                header.lastFence(),
                header.lastMillis(),
                configuration,
                new ProgramsImage(programs, endedLists.endedInOrder(), endedLists.ended()),
                claims,
                poison);
    }

    private static void writeRecord(DataOutputStream out, Object record) throws IOException {
        try {
            byte[] bytes = Codec.pack(record);
            out.writeInt(bytes.length);
            out.write(bytes);
        } catch (WireException e) {
            throw new IOException("cannot encode a snapshot record", e);
        }
    }

    private static <T> T readRecord(DataInputStream in, Class<T> type) throws IOException {
        int length = in.readInt();
        if (length == 0) {
            return null;
        }
        if (length < 0 || length > MAX_RECORD_BYTES) {
            throw new IOException("invalid snapshot record length: " + length + " bytes");
        }
        byte[] bytes = in.readNBytes(length);
        try {
            return Codec.unpack(bytes, type);
        } catch (WireException e) {
            throw new IOException("cannot decode a snapshot record", e);
        }
    }

    private static <T> List<T> readRecords(DataInputStream in, Class<T> type) throws IOException {
        List<T> all = new ArrayList<>();
        for (T record = readRecord(in, type); record != null; record = readRecord(in, type)) {
            all.add(record);
        }
        return all;
    }

    /** The counters that all tables share. */
    private record Header(long lastFence, long lastMillis) {}
}
