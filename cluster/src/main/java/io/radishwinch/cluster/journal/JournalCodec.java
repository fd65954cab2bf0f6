package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.JournalRecord.Abandoned;
import io.radishwinch.cluster.journal.JournalRecord.Intent;
import io.radishwinch.cluster.journal.JournalRecord.Outcome;
import io.radishwinch.cluster.journal.Manifest.Segment;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes batches, manifests and segments as platform values. */
final class JournalCodec {
    private static final int FORMAT = 1;
    private static final int INTENT = 1;
    private static final int OUTCOME = 2;
    private static final int ABANDONED = 3;
    private static final int NO_OUTCOME = -1;

    private JournalCodec() {}

    static byte[] encodeBatch(Batch batch) {
        return encode(out -> {
            out.writeLong(batch.logMs());
            out.writeInt(batch.records().size());
            for (JournalRecord record : batch.records()) {
                writeRecord(out, record);
            }
        });
    }

    static Batch decodeBatch(byte[] value) {
        return decode(value, in -> {
            long logMs = in.readLong();
            int count = in.readInt();
            List<JournalRecord> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                records.add(readRecord(in));
            }
            return new Batch(logMs, records);
        });
    }

    private static void writeRecord(DataOutputStream out, JournalRecord record) throws IOException {
        if (record instanceof Intent intent) {
            out.writeByte(INTENT);
            writeHash(out, intent.key());
            out.writeUTF(intent.nonce());
            writeHash(out, intent.fingerprint());
        } else if (record instanceof Outcome outcome) {
            out.writeByte(OUTCOME);
            writeHash(out, outcome.key());
            out.writeUTF(outcome.nonce());
            out.writeBoolean(outcome.isKept());
            writeBytes(out, outcome.content());
        } else {
            out.writeByte(ABANDONED);
            writeHash(out, record.key());
            out.writeUTF(record.nonce());
        }
    }

    private static JournalRecord readRecord(DataInputStream in) throws IOException {
        int type = in.readByte();
        Hash128 key = readHash(in);
        String nonce = in.readUTF();
        return switch (type) {
            case INTENT -> new Intent(key, readHash(in), nonce);
            case OUTCOME -> {
                boolean isKept = in.readBoolean();
                yield new Outcome(key, nonce, readBytes(in), isKept);
            }
            case ABANDONED -> new Abandoned(key, nonce);
            default -> throw new IOException("unknown journal record type " + type);
        };
    }

    static byte[] encodeManifest(Manifest manifest) {
        return encode(out -> {
            out.writeLong(manifest.floorSequence());
            out.writeLong(manifest.logMs());
            out.writeInt(manifest.segments().size());
            for (Segment segment : manifest.segments()) {
                out.writeUTF(segment.name());
                out.writeLong(segment.version());
                out.writeLong(segment.afterSequence());
                out.writeLong(segment.toSequence());
                out.writeLong(segment.newestIntentMs());
                out.writeInt(segment.bytes());
            }
        });
    }

    static Manifest decodeManifest(byte[] value) {
        return decode(value, in -> {
            long floor = in.readLong();
            long logMs = in.readLong();
            int count = in.readInt();
            List<Segment> segments = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                segments.add(new Segment(
                        in.readUTF(), in.readLong(), in.readLong(), in.readLong(), in.readLong(), in.readInt()));
            }
            return new Manifest(floor, logMs, segments);
        });
    }

    /** Returns an upper bound of the encoded size of an entry, in bytes. Nonces are ASCII. */
    static int entrySizeBytes(KeyEntry entry) {
        int sizeBytes = 80 + entry.nonce().length() + entry.outcomeBytes();
        for (String nonce : entry.abandonedNonces()) {
            sizeBytes += 2 + nonce.length();
        }
        return sizeBytes;
    }

    static byte[] encodeSegment(Map<Hash128, KeyEntry> entries) {
        return encode(out -> {
            out.writeInt(entries.size());
            for (Map.Entry<Hash128, KeyEntry> keyed : entries.entrySet()) {
                KeyEntry entry = keyed.getValue();
                writeHash(out, keyed.getKey());
                out.writeByte(entry.state().ordinal());
                writeHash(out, entry.fingerprint());
                out.writeUTF(entry.nonce());
                out.writeLong(entry.intentMs());
                out.writeLong(entry.sequence());
                if (entry.outcome() == null) {
                    out.writeInt(NO_OUTCOME);
                } else {
                    writeBytes(out, entry.outcome());
                }
                out.writeByte(entry.abandonedNonces().size());
                for (String nonce : entry.abandonedNonces()) {
                    out.writeUTF(nonce);
                }
            }
        });
    }

    static Map<Hash128, KeyEntry> decodeSegment(byte[] value) {
        return decode(value, in -> {
            int count = in.readInt();
            Map<Hash128, KeyEntry> entries = new LinkedHashMap<>();
            for (int i = 0; i < count; i++) {
                Hash128 key = readHash(in);
                KeyEntry.State state = KeyEntry.State.values()[in.readByte()];
                Hash128 fingerprint = readHash(in);
                String nonce = in.readUTF();
                long intentMs = in.readLong();
                long sequence = in.readLong();
                byte[] outcome = readBytes(in);
                int abandonedCount = in.readByte();
                List<String> abandoned = new ArrayList<>();
                for (int j = 0; j < abandonedCount; j++) {
                    abandoned.add(in.readUTF());
                }
                entries.put(
                        key,
                        new KeyEntry(state, fingerprint, nonce, intentMs, sequence, outcome, List.copyOf(abandoned)));
            }
            return entries;
        });
    }

    private static void writeHash(DataOutputStream out, Hash128 hash) throws IOException {
        out.writeLong(hash.high());
        out.writeLong(hash.low());
    }

    private static Hash128 readHash(DataInputStream in) throws IOException {
        return new Hash128(in.readLong(), in.readLong());
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length == NO_OUTCOME) {
            return null;
        }
        if (length < 0 || length > in.available()) {
            throw new IOException("length " + length + " exceeds the remaining bytes of the value");
        }
        return in.readNBytes(length);
    }

    private static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            writer.write(out);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode journal value", e);
        }
        return bytes.toByteArray();
    }

    private static <T> T decode(byte[] value, Reader<T> reader) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
            int format = in.readByte();
            if (format != FORMAT) {
                throw new IOException("unknown journal format " + format);
            }
            return reader.read(in);
        } catch (IOException e) {
            throw new IllegalStateException("cannot decode journal value: " + e.getMessage(), e);
        }
    }

    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }
}
