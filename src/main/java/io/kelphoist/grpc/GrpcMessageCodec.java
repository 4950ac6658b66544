package io.kelphoist.grpc;

import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.JobEventType;
import io.kelphoist.grpc.v1.Accepted;
import io.kelphoist.grpc.v1.Cancelled;
import io.kelphoist.grpc.v1.Done;
import io.kelphoist.grpc.v1.Held;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.JobEvent;
import io.kelphoist.grpc.v1.JobState;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.Moved;
import io.kelphoist.grpc.v1.Phase;
import io.kelphoist.grpc.v1.Progress;
import io.kelphoist.grpc.v1.Started;
import io.kelphoist.grpc.v1.Stopped;
import io.kelphoist.grpc.v1.StreamState;
import io.kelphoist.grpc.v1.SubmitResponse;
import io.kelphoist.grpc.v1.Waiting;
import io.kelphoist.grpc.v1.WatchResponse;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MalformedMessageException;
import java.util.List;

/** Converts between the messages of the gRPC protocol and the types of the model. */
final class GrpcMessageCodec {
    private GrpcMessageCodec() {}

    /**
     * Decodes a job's specification. It is validated by the codec of the HTTP protocol, so that
     * both protocols apply the same checks.
     *
     * @throws MalformedMessageException if the specification is invalid
     */
    static JobSpec toJobSpec(Job message) throws MalformedMessageException {
        JobKind kind = toJobKind(message.getKind());
        Priority priority = toPriority(message.getPriority());
        return JobCodec.checkJob(toUncheckedJobSpec(message, kind, priority));
    }

    private static JobKind toJobKind(Kind kind) throws MalformedMessageException {
        return switch (kind) {
            case KIND_ARRAY -> JobKind.ARRAY;
            case KIND_GANG -> JobKind.GANG;
            case KIND_SERVICE -> JobKind.SERVICE;
            default -> throw new MalformedMessageException("kind is unknown");
        };
    }

    private static Priority toPriority(io.kelphoist.grpc.v1.Priority priority)
            throws MalformedMessageException {
        return switch (priority) {
            case PRIORITY_LOW -> Priority.LOW;
            case PRIORITY_UNSPECIFIED, PRIORITY_NORMAL -> Priority.NORMAL;
            case PRIORITY_HIGH -> Priority.HIGH;
            case PRIORITY_PRODUCTION -> Priority.PRODUCTION;
            default -> throw new MalformedMessageException("priority is unknown");
        };
    }

    private static JobSpec toUncheckedJobSpec(Job message, JobKind kind, Priority priority) {
        return new JobSpec(
                message.getId(),
                message.getJobClass(),
                message.getTeam(),
                kind,
                priority,
                message.getTasks(),
                new Resources(message.getCpus(), message.getGpus(), message.getMemoryGb()),
                message.getMachineTypesCount() == 0
                        ? null
                        : ImmutableSortedSet.copyOf(message.getMachineTypesList()),
                message.getZone().isEmpty() ? null : message.getZone(),
                message.getOneZone(),
                message.getSpread(),
                message.getSpotAllowed(),
                message.getImage(),
                message.getImageGb(),
                message.getEstimateS(),
                message.getCheckpointS(),
                message.getSaveS(),
                message.hasDeadlineS() ? message.getDeadlineS() : null,
                List.copyOf(message.getNeedsList()));
    }

    /** Encodes the response to a submission that stored the job. */
    static SubmitResponse toCreatedResponse(AdmissionResult.JobStateView job) {
        return SubmitResponse.newBuilder().setJob(toJobState(job)).setCreated(true).build();
    }

    /** Encodes the response to a repeated submission, whose job was stored before. */
    static SubmitResponse toExistingResponse(AdmissionResult.JobStateView job) {
        return SubmitResponse.newBuilder().setJob(toJobState(job)).setCreated(false).build();
    }

    /** Encodes a job's state. */
    static JobState toJobState(AdmissionResult.JobStateView state) {
        return JobState.newBuilder()
                .setId(state.id())
                .setTeam(team(state.owner()))
                .setJobClass(jobClass(state.owner()))
                .setPhase(toPhase(state.phase()))
                .setDone(state.doneTasks())
                .setRunning(state.runningTasks())
                .build();
    }

    private static Phase toPhase(AdmissionResult.Phase phase) {
        return switch (phase) {
            case QUEUED -> Phase.PHASE_QUEUED;
            case RUNNING -> Phase.PHASE_RUNNING;
            case DONE -> Phase.PHASE_DONE;
            case CANCELLED -> Phase.PHASE_CANCELLED;
        };
    }

    /**
     * Encodes an event of a stream.
     *
     * @param cursor the encoded cursor to resume from after the event
     */
    static WatchResponse toWatchResponse(io.kelphoist.events.JobEvent event, byte[] cursor) {
        JobEvent.Builder message =
                JobEvent.newBuilder()
                        .setJob(event.jobId())
                        .setTeam(team(event.owner()))
                        .setJobClass(jobClass(event.owner()))
                        .setPresent(event.reportsCurrentState())
                        .setDone(event.doneTasks())
                        .setRunning(event.runningTasks())
                        .setAtMs(event.atMillis());
        setEventType(event.type(), message);
        return WatchResponse.newBuilder()
                .setCursor(ByteString.copyFrom(cursor))
                .setEvent(message)
                .build();
    }

    private static void setEventType(JobEventType type, JobEvent.Builder message) {
        if (type instanceof JobEventType.Accepted) {
            message.setAccepted(Accepted.getDefaultInstance());
        } else if (type instanceof JobEventType.WaitingForDependencies) {
            message.setWaiting(Waiting.getDefaultInstance());
        } else if (type instanceof JobEventType.CapacityReserved reserved) {
            message.setHeld(Held.newBuilder().setMachines(reserved.machineCount()));
        } else if (type instanceof JobEventType.Started started) {
            message.setStarted(
                    Started.newBuilder().setTask(started.task()).setMachine(started.machine()));
        } else if (type instanceof JobEventType.Moved moved) {
            message.setMoved(
                    Moved.newBuilder()
                            .setTask(moved.task())
                            .setFrom(moved.fromMachine())
                            .setTo(moved.toMachine())
                            .setCause(moved.cause()));
        } else if (type instanceof JobEventType.Stopped stopped) {
            message.setStopped(
                    Stopped.newBuilder()
                            .setTask(stopped.task())
                            .setMachine(stopped.machine())
                            .setCause(stopped.cause()));
        } else if (type instanceof JobEventType.Progress) {
            message.setProgress(Progress.getDefaultInstance());
        } else if (type instanceof JobEventType.Done) {
            message.setDoneEvent(Done.getDefaultInstance());
        } else if (type instanceof JobEventType.Cancelled) {
            message.setCancelled(Cancelled.getDefaultInstance());
        }
    }

    /**
     * Encodes whether a stream is current, which it is while the state store is reachable.
     *
     * @param cursor the encoded cursor to resume from after the last event
     */
    static WatchResponse toStreamStateResponse(boolean storeReachable, byte[] cursor) {
        return WatchResponse.newBuilder()
                .setCursor(ByteString.copyFrom(cursor))
                .setState(StreamState.newBuilder().setCurrent(storeReachable))
                .build();
    }

    private static String team(JobOwner owner) {
        return owner == null ? "" : owner.team();
    }

    private static String jobClass(JobOwner owner) {
        return owner == null ? "" : owner.jobClass();
    }
}
