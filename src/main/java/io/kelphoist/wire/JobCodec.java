package io.kelphoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Encodes and decodes messages to and from users, and stored job specs. */
public final class JobCodec {
    /** Maximum number of tasks of a job. */
    public static final int MAX_TASKS = 100_000;

    /** A job id that no job has, since it is longer than any id that users may choose. */
    private static final String UNSATISFIABLE_DEPENDENCY = "job-" + "0".repeat(31);

    private static final Pattern JOB_ID = Pattern.compile("job-[0-9]{1,30}");

    private JobCodec() {}

    /** Returns whether the text is a valid job id. */
    public static boolean isJobId(String id) {
        return JOB_ID.matcher(id).matches();
    }

    /**
     * Decodes a submitted job.
     *
     * @throws MalformedMessageException if a field is missing or invalid
     */
    public static JobSpec decodeJob(JsonNode message) throws MalformedMessageException {
        return decodeJob(message, decodeDependencies(message));
    }

    /**
     * Validates a job of another protocol by the rules of {@link #decodeJob}, and returns it in the
     * form that {@link #decodeJob} returns, without duplicate dependencies.
     *
     * @throws MalformedMessageException if a field is invalid
     */
    public static JobSpec checkJob(JobSpec job) throws MalformedMessageException {
        return decodeJob(encodeJob(job));
    }

    /**
     * Decodes a stored job. If its dependencies can't be decoded, the job gets a dependency on a
     * job that can't exist: its user can still query it, but it never starts.
     *
     * @throws MalformedMessageException if another field is missing or invalid
     */
    public static JobSpec decodeStoredJob(JsonNode message) throws MalformedMessageException {
        try {
            return decodeJob(message);
        } catch (MalformedMessageException e) {
            return decodeJob(message, List.of(UNSATISFIABLE_DEPENDENCY));
        }
    }

    /**
     * Decodes only the id of a submitted job, even if other fields of the message are invalid.
     *
     * @throws MalformedMessageException if the id is missing or invalid
     */
    public static String decodeJobId(JsonNode message) throws MalformedMessageException {
        String id = MessageFields.text(message, FieldNames.NAME);
        if (!isJobId(id)) {
            throw new MalformedMessageException(FieldNames.NAME + " is not a job id");
        }
        return id;
    }

    private static JobSpec decodeJob(JsonNode message, List<String> dependencies)
            throws MalformedMessageException {
        String id = decodeJobId(message);
        JobKind kind = decodeKind(message);
        Priority priority = decodePriority(message);
        Set<String> machineTypes =
                MessageFields.has(message, FieldNames.MACHINE_TYPES)
                        ? new LinkedHashSet<>(
                                MessageFields.texts(message, FieldNames.MACHINE_TYPES))
                        : null;
        Double deadlineSeconds =
                MessageFields.nonNegativeOrNull(message, FieldNames.DEADLINE_SECONDS);
        return new JobSpec(
                id,
                MessageFields.text(message, FieldNames.JOB_CLASS),
                MessageFields.text(message, FieldNames.TEAM),
                kind,
                priority,
                (int) MessageFields.integer(message, FieldNames.TASKS, 1, MAX_TASKS),
                decodeResources(message),
                machineTypes,
                MessageFields.textOr(message, FieldNames.ZONE, null),
                MessageFields.bool(message, "same_place"),
                MessageFields.bool(message, FieldNames.SPREAD_ACROSS_ZONES),
                MessageFields.bool(message, FieldNames.SPOT),
                MessageFields.text(message, FieldNames.IMAGE),
                MessageFields.nonNegative(message, "image_gb"),
                MessageFields.nonNegative(message, FieldNames.ESTIMATED_SECONDS),
                MessageFields.nonNegative(message, FieldNames.CHECKPOINT_INTERVAL_SECONDS),
                MessageFields.nonNegative(message, FieldNames.CHECKPOINT_SAVE_SECONDS),
                deadlineSeconds,
                dependencies);
    }

    private static JobKind decodeKind(JsonNode message) throws MalformedMessageException {
        return switch (MessageFields.text(message, FieldNames.JOB_KIND)) {
            case "batch" -> JobKind.ARRAY;
            case "ensemble" -> JobKind.GANG;
            case "standing" -> JobKind.SERVICE;
            default -> throw new MalformedMessageException(FieldNames.JOB_KIND + " is unknown");
        };
    }

    private static Priority decodePriority(JsonNode message) throws MalformedMessageException {
        return switch (MessageFields.text(message, FieldNames.PRIORITY)) {
            case "critical" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default -> throw new MalformedMessageException(FieldNames.PRIORITY + " is unknown");
        };
    }

    /** Decodes the resources of one task or one machine. */
    static Resources decodeResources(JsonNode message) throws MalformedMessageException {
        return new Resources(
                MessageFields.nonNegative(message, "cpus"),
                MessageFields.nonNegative(message, FieldNames.GPUS),
                MessageFields.nonNegative(message, FieldNames.MEMORY_GB));
    }

    private static List<String> decodeDependencies(JsonNode message)
            throws MalformedMessageException {
        if (!MessageFields.has(message, FieldNames.DEPENDENCIES)) {
            return List.of();
        }
        Set<String> dependencies =
                new LinkedHashSet<>(MessageFields.texts(message, FieldNames.DEPENDENCIES));
        for (String dependency : dependencies) {
            if (!isJobId(dependency)
                    || dependency.equals(MessageFields.textOr(message, FieldNames.NAME, null))) {
                throw new MalformedMessageException(
                        FieldNames.DEPENDENCIES + " holds something that is not another job's id");
            }
        }
        return List.copyOf(dependencies);
    }

    /** Encodes a job in the format of submissions, in which it is also stored. */
    public static ObjectNode encodeJob(JobSpec job) {
        ObjectNode message = MessageEncoding.newObject();
        message.put(FieldNames.NAME, job.id())
                .put(FieldNames.JOB_CLASS, job.jobClass())
                .put(FieldNames.TEAM, job.team())
                .put(FieldNames.JOB_KIND, encodeKind(job.kind()))
                .put(FieldNames.PRIORITY, encodePriority(job.priority()))
                .put(FieldNames.TASKS, job.tasks())
                .put("cpus", job.resourcesPerTask().cpus())
                .put(FieldNames.GPUS, job.resourcesPerTask().gpus())
                .put(FieldNames.MEMORY_GB, job.resourcesPerTask().memoryGb())
                .put(FieldNames.IMAGE, job.image())
                .put("image_gb", job.imageSizeGb());
        if (job.machineTypes() != null) {
            ArrayNode machineTypes = message.putArray(FieldNames.MACHINE_TYPES);
            job.machineTypes().forEach(machineTypes::add);
        }
        if (job.zone() != null) {
            message.put(FieldNames.ZONE, job.zone());
        }
        message.put("same_place", job.singleZone())
                .put(FieldNames.SPREAD_ACROSS_ZONES, job.spreadAcrossZones())
                .put(FieldNames.SPOT, job.spotAllowed())
                .put(FieldNames.ESTIMATED_SECONDS, job.estimatedSeconds())
                .put(FieldNames.CHECKPOINT_INTERVAL_SECONDS, job.checkpointIntervalSeconds())
                .put(FieldNames.CHECKPOINT_SAVE_SECONDS, job.checkpointSaveSeconds());
        if (job.deadlineSeconds() != null) {
            message.put(FieldNames.DEADLINE_SECONDS, job.deadlineSeconds().doubleValue());
        }
        if (!job.dependencies().isEmpty()) {
            ArrayNode dependencies = message.putArray(FieldNames.DEPENDENCIES);
            job.dependencies().forEach(dependencies::add);
        }
        return message;
    }

    private static String encodeKind(JobKind kind) {
        return switch (kind) {
            case ARRAY -> "batch";
            case GANG -> "ensemble";
            case SERVICE -> "standing";
        };
    }

    private static String encodePriority(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "critical";
            case HIGH -> "high";
            case NORMAL -> "normal";
            case LOW -> "idle";
        };
    }

    /**
     * Encodes the response to a submission that stored the job.
     *
     * @param phase the name of the job's phase in messages
     */
    public static ObjectNode encodeAccepted(String jobId, String phase) {
        return MessageEncoding.newObject().put(FieldNames.NAME, jobId).put(FieldNames.STATE, phase);
    }

    /**
     * Encodes a job's state in the response to any other request: as {@link #encodeAccepted}, with
     * the numbers of the job's done and running tasks.
     */
    public static ObjectNode encodeJobState(
            String jobId, String phase, int doneTasks, int runningTasks) {
        return encodeAccepted(jobId, phase).put("done", doneTasks).put("running", runningTasks);
    }
}
