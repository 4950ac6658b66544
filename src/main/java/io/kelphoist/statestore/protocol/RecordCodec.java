package io.kelphoist.statestore.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.CachedImages;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.TaskRef;
import io.kelphoist.wire.CloudCodec;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import io.kelphoist.wire.WorkerCodec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the values of stored records. Values that were stored by any earlier version
 * can be decoded. Timestamps are wall-clock times in ms since the epoch.
 */
public final class RecordCodec {
    private static final String STATUS_ACTIVE = "active";
    private static final String STATUS_DONE = "done";
    private static final String STATUS_CANCELLED = "cancelled";

    /**
     * Number of elements before the tasks in a machine's entry on a page of recorded starts:
     * machine type, zone and spot flag.
     */
    private static final int START_HEADER_FIELDS = 3;

    private RecordCodec() {}

    // ---- leadership ----

    /**
     * Encodes the record of the term or the leader.
     *
     * @param key {@link StateStoreKeys#TERM} or {@link StateStoreKeys#LEADER}
     * @param leaseId the lease that the key is attached to, or {@link RecordMutation#NO_LEASE}
     */
    public static RecordMutation encodeLeader(String key, LeaderRecord leader, long leaseId) {
        ObjectNode value =
                MessageEncoding.newObject()
                        .put("term", leader.term())
                        .put("node", leader.controllerName());
        return new RecordMutation(key, value, leaseId);
    }

    /** Decodes the record of the term or the leader; missing fields are 0 and empty. */
    public static LeaderRecord decodeLeader(StoredRecord record) {
        return new LeaderRecord(
                record.value().path("term").asLong(), record.value().path("node").asText());
    }

    // ---- jobs ----

    /** Encodes the record of a job that was accepted and has not ended. */
    public static RecordMutation encodeActiveJob(JobSpec spec, long acceptedAtMillis) {
        return encodeJobWithSpec(spec.id(), STATUS_ACTIVE, spec, acceptedAtMillis);
    }

    /**
     * Encodes the record of a done job, which keeps the owner but not the spec.
     *
     * @param owner null if unknown, since records of earlier versions had no owner
     */
    public static RecordMutation encodeDoneJob(String jobId, long doneAtMillis, JobOwner owner) {
        ObjectNode value =
                MessageEncoding.newObject().put("status", STATUS_DONE).put("at", doneAtMillis);
        if (owner != null) {
            value.put("team", owner.team()).put("class", owner.jobClass());
        }
        return new RecordMutation(StateStoreKeys.jobKey(jobId), value);
    }

    /**
     * Encodes the record of a cancelled job. The record keeps the spec, since the job's tasks are
     * still charged for their resources until they have exited, by the next leader too. If the
     * value would exceed {@code maxBytes}, for example because the job was accepted when the limit
     * on the size of values was higher, the spec is abridged to the fields that are still needed.
     *
     * @param job a record with a spec; its status is ignored
     * @param maxBytes maximum size of the value's JSON encoding; even with an abridged spec the
     *     value may exceed it
     */
    public static RecordMutation encodeCancelledJob(JobRecord job, int maxBytes) {
        RecordMutation mutation =
                encodeJobWithSpec(job.id(), STATUS_CANCELLED, job.spec(), job.timestampMillis());
        return mutation.valueBytes() <= maxBytes
                ? mutation
                : encodeJobWithSpec(
                        job.id(), STATUS_CANCELLED, job.spec().abridged(), job.timestampMillis());
    }

    private static RecordMutation encodeJobWithSpec(
            String jobId, String status, JobSpec spec, long acceptedAtMillis) {
        ObjectNode value =
                MessageEncoding.newObject().put("status", status).put("at", acceptedAtMillis);
        value.set("spec", JobCodec.encodeJob(spec));
        return new RecordMutation(StateStoreKeys.jobKey(jobId), value);
    }

    /**
     * Decodes the record of a job, whose key must start with {@link StateStoreKeys#JOBS_PREFIX}.
     *
     * @throws MalformedMessageException if the status or the spec can't be decoded
     */
    public static JobRecord decodeJob(StoredRecord record) throws MalformedMessageException {
        JsonNode value = record.value();
        JobStatus status =
                switch (value.path("status").asText()) {
                    case STATUS_ACTIVE -> JobStatus.ACTIVE;
                    case STATUS_DONE -> JobStatus.DONE;
                    case STATUS_CANCELLED -> JobStatus.CANCELLED;
                    default ->
                            throw new MalformedMessageException(
                                    "status of "
                                            + record.key()
                                            + " is '"
                                            + value.path("status").asText()
                                            + "', expected active, done or cancelled");
                };
        JobSpec spec =
                status == JobStatus.DONE ? null : JobCodec.decodeStoredJob(value.path("spec"));
        return new JobRecord(
                record.key().substring(StateStoreKeys.JOBS_PREFIX.length()),
                spec,
                status,
                value.path("at").asLong(),
                record.version(),
                spec != null ? spec.owner() : decodeOwner(value));
    }

    private static JobOwner decodeOwner(JsonNode value) {
        return value.has("team")
                ? new JobOwner(value.path("team").asText(), value.path("class").asText())
                : null;
    }

    // ---- pages ----

    /** Encodes a page of done tasks: a bit set for each range of a job's tasks. */
    public static RecordMutation encodeProgress(int pageNumber, List<TaskProgress> ranges) {
        ObjectNode page = MessageEncoding.newObject();
        for (TaskProgress range : ranges) {
            page.put(
                    range.jobId() + "/" + range.firstTask(),
                    Base64.getEncoder().encodeToString(range.doneTasks().toByteArray()));
        }
        return new RecordMutation(
                StateStoreKeys.pageKey(StateStoreKeys.PROGRESS_PREFIX, pageNumber), page);
    }

    /**
     * Decodes a page of done tasks.
     *
     * @throws MalformedMessageException if the first task of a range or its bit set can't be
     *     decoded
     */
    public static List<TaskProgress> decodeProgress(StoredRecord page)
            throws MalformedMessageException {
        List<TaskProgress> ranges = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : page.value().properties()) {
            TaskRef firstTask = WorkerCodec.decodeTaskRef(field.getKey());
            ranges.add(
                    new TaskProgress(
                            firstTask.jobId(),
                            firstTask.taskIndex(),
                            decodeBits(field.getKey(), field.getValue().asText())));
        }
        return ranges;
    }

    private static BitSet decodeBits(String firstTask, String base64)
            throws MalformedMessageException {
        try {
            return BitSet.valueOf(Base64.getDecoder().decode(base64));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    "done tasks from " + firstTask + " on are not valid Base64");
        }
    }

    /**
     * Decodes a page of recorded starts: tasks that may run on machines. {@link StartPageEncoder}
     * is the inverse. A missing machine type or zone is decoded as empty, a missing spot flag as
     * false.
     *
     * @throws MalformedMessageException if the name of a task can't be decoded
     */
    public static List<RecordedStart> decodeStarts(StoredRecord page)
            throws MalformedMessageException {
        List<RecordedStart> starts = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : page.value().properties()) {
            JsonNode entry = field.getValue();
            for (int i = START_HEADER_FIELDS; i < entry.size(); i++) {
                starts.add(
                        new RecordedStart(
                                field.getKey(),
                                entry.path(0).asText(),
                                entry.path(1).asText(),
                                entry.path(2).asBoolean(),
                                WorkerCodec.decodeTaskRef(entry.path(i).asText())));
            }
        }
        return starts;
    }

    /**
     * Encodes a page of cached images: for each machine its images and their sizes, least recently
     * used first.
     */
    public static RecordMutation encodeImages(int pageNumber, List<CachedImages> machines) {
        ObjectNode page = MessageEncoding.newObject();
        for (CachedImages machine : machines) {
            ObjectNode images = page.putObject(machine.machineName());
            for (CachedImages.Image image : machine.images()) {
                images.put(image.name(), image.sizeGb());
            }
        }
        return new RecordMutation(
                StateStoreKeys.pageKey(StateStoreKeys.IMAGES_PREFIX, pageNumber), page);
    }

    /** Decodes a page of cached images. */
    public static List<CachedImages> decodeImages(StoredRecord page) {
        List<CachedImages> machines = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : page.value().properties()) {
            machines.add(new CachedImages(field.getKey(), decodeImageSizes(field.getValue())));
        }
        return machines;
    }

    private static List<CachedImages.Image> decodeImageSizes(JsonNode sizes) {
        List<CachedImages.Image> images = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : sizes.properties()) {
            images.add(new CachedImages.Image(field.getKey(), field.getValue().asDouble()));
        }
        return images;
    }

    // ---- others ----

    /**
     * Encodes the latest possible start of a controller's lease delegation.
     *
     * @param startMillis wall-clock time in ms since the epoch, stored rounded up; NaN to clear the
     *     record
     */
    public static RecordMutation encodeDelegation(String controller, double startMillis) {
        ObjectNode value = MessageEncoding.newObject();
        if (Double.isNaN(startMillis)) {
            value.putNull("base");
        } else {
            value.put("base", (long) Math.ceil(startMillis));
        }
        return new RecordMutation(StateStoreKeys.DELEGATIONS_PREFIX + controller, value);
    }

    /**
     * Decodes the latest possible start of a lease delegation: wall-clock time in ms since the
     * epoch, or NaN if the record is cleared.
     */
    public static double decodeDelegation(StoredRecord record) {
        JsonNode startMillis = record.value().path("base");
        return startMillis.isIntegralNumber() ? startMillis.asLong() : Double.NaN;
    }

    /** Encodes the machine types that the cloud offers. */
    public static RecordMutation encodeMachineTypes(List<MachineType> machineTypes) {
        return new RecordMutation(
                StateStoreKeys.MACHINE_TYPES, CloudCodec.encodeMachineTypes(machineTypes));
    }

    /**
     * Decodes the machine types that the cloud offers.
     *
     * @throws MalformedMessageException if a field is missing or invalid
     */
    public static List<MachineType> decodeMachineTypes(StoredRecord record)
            throws MalformedMessageException {
        return CloudCodec.decodeMachineTypes(record.value());
    }
}
