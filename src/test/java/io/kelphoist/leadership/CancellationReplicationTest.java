package io.kelphoist.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.Resources;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.peer.CancellationCodec;
import io.kelphoist.peer.GrantCodec;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import io.kelphoist.peer.LeaderState;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.MessageEncoding;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Runs a leader with its renewal gate against two peers that confirm cancellations to users; grant
 * requests and responses are encoded and decoded as on the network. A leader that misses a
 * confirmed cancellation could renew the leases of the cancelled tasks, or start them, after they
 * must have stopped.
 */
class CancellationReplicationTest {
    /** With these durations the renewal window is 19.36 seconds. */
    private static final DelegationTiming TIMING =
            DelegationTiming.of(/* cancelSeconds= */ 42, /* leaseSeconds= */ 22);

    private static final List<WorkerCommand> COMMANDS =
            List.of(
                    new WorkerCommand.Start("job-9", /* taskIndex= */ 0, /* attemptId= */ 1),
                    new WorkerCommand.Stop(
                            "job-8",
                            /* taskIndex= */ 0,
                            /* attemptId= */ 1,
                            /* graceSeconds= */ 0));

    private double nowSeconds = 100;
    private double jobsCurrentAsOfSeconds = 100;
    private final EventLoop loop =
            new EventLoop() {
                @Override
                public double nowSeconds() {
                    return nowSeconds;
                }

                @Override
                public void schedule(double seconds, Runnable task) {
                    throw new UnsupportedOperationException();
                }
            };
    private final ControllerCounters counters = new ControllerCounters();
    private final CancellationReplication leader = newReplication(List.of("p", "q"), counters);
    private final RenewalGate gate =
            new RenewalGate(TIMING, loop, leader::watermarkSeconds, counters);
    private final CancellationReplication firstPeer =
            newReplication(List.of("l", "q"), new ControllerCounters());
    private final CancellationReplication secondPeer =
            newReplication(List.of("l", "p"), new ControllerCounters());
    private final List<String> appliedCancellations = new ArrayList<>();

    private CancellationReplication newReplication(
            List<String> otherControllers, ControllerCounters replicationCounters) {
        return new CancellationReplication(
                otherControllers,
                loop,
                () -> jobsCurrentAsOfSeconds,
                replicationCounters,
                nowSeconds - 50);
    }

    /** Requests a grant from a peer, and passes its response to the leader after the round trip. */
    private void exchangeGrant(String name, CancellationReplication peer, double roundTripSeconds) {
        ObjectNode request = request(/* term= */ 3, leader.acknowledgementFor(name));
        double sentAtSeconds = nowSeconds;
        ObjectNode response = response(peer, request);
        nowSeconds += roundTripSeconds;
        leader.onGrantResponse(name, GrantCodec.decodeResponse(response), sentAtSeconds);
    }

    private static ObjectNode request(
            long term, Optional<CancellationCodec.Acknowledgement> acknowledged) {
        LeaderState state =
                new LeaderState(
                        /* taskCounts= */ Optional.empty(),
                        /* machineStateUpdate= */ Optional.empty(),
                        acknowledged,
                        /* delegationOffer= */ Optional.empty());
        return GrantCodec.encodeRequest(
                new GrantRequest(term, "l", /* stateStoreReachable= */ true, state));
    }

    private static ObjectNode response(CancellationReplication peer, ObjectNode request) {
        return GrantCodec.encodeResponse(
                new GrantResponse(
                        /* granted= */ true,
                        /* stateStoreReachable= */ true,
                        /* replicaStatus= */ Optional.empty(),
                        /* delegationStatus= */ Optional.empty(),
                        peer.onGrantRequest(GrantCodec.decodeRequest(request))));
    }

    private static JobRecord job(String id, JobStatus status) {
        return new JobRecord(
                id, /* spec= */ null, status, /* timestampMillis= */ 0, /* version= */ 1);
    }

    /**
     * The leader cannot read the job records for 80 seconds, about twice as long as a cancellation
     * may take. It must still apply each confirmed cancellation once, from the peers' statements,
     * and must still be allowed to renew leases.
     */
    @Test
    void statementsReplaceUnreadableRecords() {
        leader.onRecordsLoaded(3, appliedCancellations::add);
        for (int i = 0; i < 200; i++) {
            if (i == 40) {
                firstPeer.beforeStatusReported(job("job-1", JobStatus.CANCELLED));
                secondPeer.beforeStatusReported(job("job-2", JobStatus.CANCELLED));
                secondPeer.beforeStatusReported(job("job-3", JobStatus.DONE));
                leader.beforeStatusReported(job("job-4", JobStatus.CANCELLED));
                assertEquals(List.of("job-4"), appliedCancellations);
            }
            exchangeGrant("p", firstPeer, 0.1);
            exchangeGrant("q", secondPeer, 0.2);
            nowSeconds += 0.1;
            assertTrue(
                    gate.checkRenewalAllowed(), "renewals must be allowed with current statements");
        }
        assertEquals(List.of("job-4", "job-1", "job-2"), appliedCancellations);
        assertEquals(0, firstPeer.unacknowledgedCount());
        assertEquals(COMMANDS, gate.permittedCommands(COMMANDS));
    }

    /**
     * A peer that does not respond may have confirmed cancellations. Once the watermark is older
     * than the renewal window, no lease may be renewed and no task started, but stop commands must
     * still be permitted. Reading the job records advances the watermark again.
     */
    @Test
    void noTaskStartsAfterTheRenewalWindow() {
        leader.onRecordsLoaded(3, appliedCancellations::add);
        exchangeGrant("q", secondPeer, 0.1);
        exchangeGrant("p", firstPeer, 0.1);
        double initialWatermarkSeconds = leader.watermarkSeconds();
        assertEquals(100, initialWatermarkSeconds, 1e-9);
        nowSeconds = initialWatermarkSeconds + 19.3;
        exchangeGrant("q", secondPeer, 0);
        assertTrue(gate.checkRenewalAllowed(), "renewals must be allowed within the window");
        nowSeconds = initialWatermarkSeconds + 19.5;
        exchangeGrant("q", secondPeer, 0);
        assertFalse(gate.checkRenewalAllowed(), "renewals must be blocked after the window");
        assertEquals(List.of(COMMANDS.get(1)), gate.permittedCommands(COMMANDS));
        assertTrue(counters.withheldResponses() > 0, "withheld responses must be counted");
        jobsCurrentAsOfSeconds = nowSeconds - 1;
        assertTrue(
                gate.checkRenewalAllowed(), "renewals must be allowed after the records are read");
    }

    /**
     * A cancellation that this controller confirmed before its term, but after the records were
     * read, is not in these records. Guards against a new leader that misses it: it must be applied
     * when the term starts. One that is confirmed after the end of the term must not be applied.
     */
    @Test
    void cancellationsConfirmedBeforeTheTermAreApplied() {
        leader.beforeStatusReported(job("job-1", JobStatus.CANCELLED));
        leader.onRecordsLoaded(3, appliedCancellations::add);
        assertEquals(List.of("job-1"), appliedCancellations);
        leader.onTermEnded();
        leader.beforeStatusReported(job("job-2", JobStatus.CANCELLED));
        assertEquals(List.of("job-1"), appliedCancellations);
        // Without a term the watermark is the moment as of which the job records are current.
        nowSeconds = 110;
        assertEquals(100, leader.watermarkSeconds());
        assertEquals(Optional.empty(), leader.acknowledgementFor("p"));
    }

    /**
     * A response must contain no statement if the request has no acknowledgement, because the
     * leader's version does not send one, or if the leader's term is older than the newest term
     * from which a request has arrived.
     */
    @Test
    void noStatementWithoutRequestOrForOlderTerm() {
        firstPeer.beforeStatusReported(job("job-1", JobStatus.CANCELLED));
        assertFalse(response(firstPeer, request(3, Optional.empty())).has("told"));
        Optional<CancellationCodec.Acknowledgement> noneAcknowledged =
                Optional.of(new CancellationCodec.Acknowledgement(0, 0));
        ObjectNode response = response(firstPeer, request(3, noneAcknowledged));
        assertEquals("job-1", response.path("told").path("jobs").path(0).asText());
        assertFalse(response(firstPeer, request(2, noneAcknowledged)).has("told"));
    }

    private static Heartbeat heartbeat(long fencingToken, String... jobs) {
        return new Heartbeat(
                "vm-1",
                "10.0.0.1:1",
                /* machineType= */ "m",
                /* zone= */ "a",
                /* spot= */ false,
                /* agentEpoch= */ 1,
                /* sequenceNumber= */ 5,
                fencingToken,
                /* terminationNoticeSeconds= */ null,
                Stream.of(jobs)
                        .map(
                                job ->
                                        new TaskStatus(
                                                job,
                                                /* taskIndex= */ 0,
                                                /* attemptId= */ 1,
                                                TaskPhase.RUNNING,
                                                /* exitReason= */ null,
                                                /* checkpointSaved= */ false))
                        .toList());
    }

    /**
     * Until the records of a new term are loaded, no command can stop a task. So the lease of a
     * worker must not be renewed if the worker runs a task of a job that is cancelled according to
     * the replica, nor if the worker has the fencing token of a newer term.
     */
    @Test
    void leasesWithCancelledTasksAreNotRenewedWhileRecordsAreRead() {
        RecordReplica records = new RecordReplica();
        JobSpec spec = new JobSpecBuilder("job-1").resourcesPerTask(Resources.NONE).build();
        records.applyJob(new JobRecord("job-1", spec, JobStatus.CANCELLED, 0, 7), 100);
        records.applyJob(new JobRecord("job-2", spec, JobStatus.ACTIVE, 0, 8), 100);
        assertEquals(
                Optional.empty(),
                LeaderTerm.renewLeaseOnly(heartbeat(2, "job-2", "job-1"), 3, records));
        assertEquals(
                Optional.of(new HeartbeatResponse(3, List.of())),
                LeaderTerm.renewLeaseOnly(heartbeat(2, "job-2"), 3, records));
        assertEquals(
                Optional.empty(), LeaderTerm.renewLeaseOnly(heartbeat(4, "job-2"), 3, records));
    }

    /**
     * Missing and malformed statements must be ignored as a whole: if a part of a malformed one
     * were used, the watermark could advance without its cancellations. Malformed ones are counted.
     */
    @Test
    void malformedStatementsAreIgnored() throws MalformedMessageException {
        leader.onRecordsLoaded(3, appliedCancellations::add);
        String validFields =
                "\"life\":5,\"since_s\":40,\"to\":1,\"whole\":true,\"jobs\":[\"job-7\"]";
        for (String malformedStatement : malformedStatements(validFields)) {
            long countBefore = counters.malformedMessages();
            leader.onGrantResponse(
                    "p", decode("{\"told\":" + malformedStatement + "}"), nowSeconds);
            assertEquals(countBefore + 1, counters.malformedMessages(), malformedStatement);
        }
        leader.onGrantResponse("p", decode("{}"), nowSeconds);
        // The statement of an unknown controller is applied, but does not advance the watermark.
        leader.onGrantResponse(
                "not-a-peer", decode("{\"told\":{" + validFields + "}}"), nowSeconds);
        leader.onGrantResponse("p", decode("{\"told\":null}"), nowSeconds);
        assertEquals(13, counters.malformedMessages());
        assertEquals(List.of("job-7"), appliedCancellations);
        assertEquals(100, leader.watermarkSeconds(), 1e-9);
    }

    private static List<String> malformedStatements(String validFields) {
        return List.of(
                "{}",
                "7",
                "[]",
                "{" + validFields.replace("\"life\":5", "\"life\":\"x\"") + "}",
                "{" + validFields.replace("40", "-1") + "}",
                "{" + validFields.replace("40", "\"NaN\"") + "}",
                "{" + validFields.replace("\"to\":1", "\"to\":-1") + "}",
                "{" + validFields.replace("\"to\":1,", "") + "}",
                "{" + validFields.replace("true", "1") + "}",
                "{" + validFields.replace("[\"job-7\"]", "\"job-7\"") + "}",
                "{" + validFields.replace("[\"job-7\"]", "[7]") + "}",
                "{" + validFields.replace("job-7", "x y") + "}",
                "{"
                        + validFields.replace(
                                "[\"job-7\"]", "[" + "\"job-7\",".repeat(10_000) + "\"job-7\"]")
                        + "}");
    }

    private static GrantResponse decode(String json) throws MalformedMessageException {
        return GrantCodec.decodeResponse(
                MessageEncoding.decodeJson(json.getBytes(StandardCharsets.UTF_8)));
    }
}
