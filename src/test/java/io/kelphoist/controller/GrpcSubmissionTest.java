package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.StatusRuntimeException;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.SubmitRequest;
import io.kelphoist.model.JobSpec;
import io.kelphoist.wire.JobCodec;
import io.kelphoist.wire.MessageEncoding;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The cases of submissions.txt get the same result over HTTP and over gRPC. Guards against a
 * validation or a status that only one of the two APIs has.
 */
@Timeout(40)
class GrpcSubmissionTest extends GrpcFixture {
    private static final int HTTP = 0;
    private static final int GRPC = 1;

    @Test
    void httpAndGrpcGiveTheSameResults() throws Exception {
        callWithRetry(userAddresses.get(0), "POST", "/work", job("job-1", "batch", 1));
        callWithRetry(userAddresses.get(1), "POST", "/work", job("job-1", "batch", 1));
        SchedulerGrpc.SchedulerBlockingStub stub = stub(1);
        Map<String, String> jobIds = new HashMap<>();
        String lastCreated = null;
        for (SubmissionCase submission : SubmissionCase.readAll()) {
            String[] results = new String[2];
            for (int api : new int[] {HTTP, GRPC}) {
                JobSpec spec = submission.toJobSpec(api, lastCreated, jobIds);
                jobIds.put(submission.name() + api, spec.id());
                stateStore.setUnavailable(submission.isStateStoreUnavailable());
                results[api] = api == HTTP ? submitOverHttp(spec) : submitOverGrpc(stub, spec);
                assertExpected(submission, results[api]);
            }
            assertSameResult(submission, results, jobIds);
            stateStore.setUnavailable(false);
            if (!submission.isResubmission() && submission.expected().equals("created")) {
                lastCreated = submission.name();
            }
        }
    }

    private static void assertExpected(SubmissionCase submission, String result) {
        assertTrue(
                result.startsWith(submission.expected()),
                () ->
                        "case %s: expected the outcome '%s', got '%s'"
                                .formatted(submission.name(), submission.expected(), result));
        assertTrue(
                result.contains(submission.reason()),
                () ->
                        "case %s: expected the text '%s', got '%s'"
                                .formatted(submission.name(), submission.reason(), result));
    }

    /** Compares the results after replacing the ids of jobs, which differ between the APIs. */
    private static void assertSameResult(
            SubmissionCase submission, String[] results, Map<String, String> jobIds) {
        assertEquals(
                results[HTTP],
                results[GRPC]
                        .replace(submission.newJobId(GRPC), submission.newJobId(HTTP))
                        .replace(
                                jobIds.getOrDefault("service" + GRPC, "-"),
                                jobIds.getOrDefault("service" + HTTP, "-")),
                "case " + submission.name() + ": expected the same result over gRPC as over HTTP");
    }

    /** Submits a job over HTTP and returns the result in the terms of submissions.txt. */
    private String submitOverHttp(JobSpec spec) throws Exception {
        byte[] body = MessageEncoding.encodeCbor(JobCodec.encodeJob(spec));
        HttpResponse<byte[]> response = call(userAddresses.get(0), "POST", "/work", body);
        String reason =
                response.body().length == 0
                        ? ""
                        : " "
                                + MessageEncoding.decodeCbor(response.body())
                                        .path("error")
                                        .asText("");
        return switch (response.statusCode()) {
            case 201 -> "created";
            case 200 -> "known";
            case 400 -> "malformed" + reason;
            case 422 -> "impossible" + reason;
            case 503 -> "later " + response.headers().firstValue("Retry-After").orElse("?");
            default -> "?" + response.statusCode();
        };
    }

    /** Submits a job over gRPC and returns the result in the terms of submissions.txt. */
    private static String submitOverGrpc(SchedulerGrpc.SchedulerBlockingStub stub, JobSpec spec) {
        SubmitRequest request = SubmitRequest.newBuilder().setJob(toMessage(spec)).build();
        try {
            return stub.submit(request).getCreated() ? "created" : "known";
        } catch (StatusRuntimeException e) {
            String reason = " " + e.getStatus().getDescription();
            return switch (e.getStatus().getCode()) {
                case INVALID_ARGUMENT -> "malformed" + reason;
                case FAILED_PRECONDITION -> "impossible" + reason;
                // The delay in the status is not compared: 1 s is what HTTP responses have.
                case UNAVAILABLE -> "later 1";
                default -> "?" + e.getStatus();
            };
        }
    }

    private static Job toMessage(JobSpec spec) {
        Job.Builder message =
                Job.newBuilder()
                        .setId(spec.id())
                        .setJobClass(spec.jobClass())
                        .setTeam(spec.team())
                        .setKind(Kind.valueOf("KIND_" + spec.kind()))
                        .setTasks(spec.tasks())
                        .setCpus(spec.resourcesPerTask().cpus())
                        .setGpus(spec.resourcesPerTask().gpus())
                        .setMemoryGb(spec.resourcesPerTask().memoryGb())
                        .setZone(spec.zone() == null ? "" : spec.zone())
                        .setOneZone(spec.singleZone())
                        .setSpread(spec.spreadAcrossZones())
                        .setSpotAllowed(spec.spotAllowed())
                        .setImage(spec.image())
                        .setImageGb(spec.imageSizeGb())
                        .setEstimateS(spec.estimatedSeconds())
                        .addAllNeeds(spec.dependencies());
        if (spec.machineTypes() != null) {
            message.addAllMachineTypes(spec.machineTypes());
        }
        return message.build();
    }
}
