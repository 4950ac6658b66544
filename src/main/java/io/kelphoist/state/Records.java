package io.kelphoist.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.core.JobRecord;
import io.kelphoist.core.JobSpec;
import io.kelphoist.core.JobStatus;
import io.kelphoist.wire.BadMessage;
import io.kelphoist.wire.Cbor;
import io.kelphoist.wire.Codec;
import java.util.Base64;
import java.util.BitSet;

/** Records as they are stored. */
public final class Records {
    /** Tasks per piece of progress: a kilobyte of bits, within any value limit when written as text. */
    public static final int PIECE = 8192;

    private Records() { }

    public static ObjectNode job(JobSpec spec, long acceptedAtMs) {
        ObjectNode m = Cbor.map().put("status", "active").put("at", acceptedAtMs);
        m.set("spec", Codec.job(spec));
        return m;
    }

    public static ObjectNode done() {
        return Cbor.map().put("status", "done");
    }

    /** Keeps the description: its tasks count until they are gone, also for the next leader. */
    public static ObjectNode cancelled(JobRecord job) {
        ObjectNode m = Cbor.map().put("status", "cancelled").put("at", job.acceptedAtMs());
        m.set("spec", Codec.job(job.spec()));
        return m;
    }

    /** A job's record; {@code key} with its prefix. */
    public static JobRecord job(String key, JsonNode value, long version) throws BadMessage {
        JobStatus status = switch (value.path("status").asText()) {
            case "active" -> JobStatus.ACTIVE;
            case "done" -> JobStatus.DONE;
            case "cancelled" -> JobStatus.CANCELLED;
            default -> throw new BadMessage("status of " + key + " is unknown");
        };
        JobSpec spec = status == JobStatus.DONE ? null : Codec.job(value.path("spec"));
        return new JobRecord(key.substring(Keys.JOBS.length()), spec, status, value.path("at").asLong(), version);
    }

    public static ObjectNode progress(BitSet done, int piece) {
        BitSet bits = done.get(piece * PIECE, (piece + 1) * PIECE);
        return Cbor.map().put("bits", Base64.getEncoder().encodeToString(bits.toByteArray()));
    }

    public static BitSet progress(JsonNode value, int piece) {
        BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(value.path("bits").asText()));
        BitSet done = new BitSet();
        bits.stream().forEach(i -> done.set(piece * PIECE + i));
        return done;
    }
}
