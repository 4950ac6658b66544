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

/** A leader's renewal gate and the statements of two peers, with the messages that carry them. */
class CancellationReplicationTest {
    private static final DelegationTiming TIMING = DelegationTiming.of(42, 22);
    private static final List<WorkerCommand> COMMANDS =
            List.of(
                    new WorkerCommand.Start("job-9", 0, 1),
                    new WorkerCommand.Stop("job-8", 0, 1, 0));

    private double nowSeconds = 100;
    private double recordsReadAtSeconds = 100;
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
            new RenewalGate(TIMING, loop, leader::knownUntilSeconds, counters);
    private final CancellationReplication firstPeer =
            newReplication(List.of("l", "q"), new ControllerCounters());
    private final CancellationReplication secondPeer =
            newReplication(List.of("l", "p"), new ControllerCounters());
    private final List<String> appliedCancellations = new ArrayList<>();

    private CancellationReplication newReplication(
            List<String> others, ControllerCounters itsCounters) {
        return new CancellationReplication(
                others, loop, () -> recordsReadAtSeconds, itsCounters, nowSeconds - 50);
    }

    /** Requests a grant of a peer and passes its response to the leader after the round trip. */
    private void exchangeGrant(String name, CancellationReplication peer, double roundTripSeconds) {
        ObjectNode request = request(3, leader.acknowledgementFor(name));
        double sentAtSeconds = nowSeconds;
        ObjectNode response = response(peer, request);
        nowSeconds += roundTripSeconds;
        leader.onGrantResponse(name, GrantCodec.decodeResponse(response), sentAtSeconds);
    }

    private static ObjectNode request(
            long term, Optional<CancellationCodec.Acknowledgement> acknowledged) {
        LeaderState state =
                new LeaderState(Optional.empty(), Optional.empty(), acknowledged, Optional.empty());
        return GrantCodec.encodeRequest(new GrantRequest(term, "l", true, state));
    }

    private static ObjectNode response(CancellationReplication peer, ObjectNode request) {
        return GrantCodec.encodeResponse(
                new GrantResponse(
                        true,
                        true,
                        Optional.empty(),
                        Optional.empty(),
                        peer.onGrantRequest(GrantCodec.decodeRequest(request))));
    }

    private static JobRecord job(String id, JobStatus status) {
        return new JobRecord(id, null, status, 0, 1);
    }

    /**
     * The records can't be read for far longer than a cancellation may take: confirmed
     * cancellations come with the peers' statements, each job once.
     */
    @Test
    void statementsReplaceMissingRecords() {
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
            assertTrue(gate.isRenewalAllowed(), "leases are renewed");
        }
        assertEquals(List.of("job-4", "job-1", "job-2"), appliedCancellations);
        assertEquals(0, firstPeer.unacknowledgedCount());
        assertEquals(COMMANDS, gate.permittedCommands(COMMANDS));
    }

    /**
     * A silent peer may confirm any cancellation: beyond the bound no start is permitted, and stops
     * still are.
     */
    @Test
    void nothingStartsBeyondTheWatermarkBound() {
        leader.onRecordsLoaded(3, appliedCancellations::add);
        exchangeGrant("q", secondPeer, 0.1);
        exchangeGrant("p", firstPeer, 0.1);
        double known = leader.knownUntilSeconds();
        assertEquals(100, known, 1e-9);
        nowSeconds = known + 19.3;
        exchangeGrant("q", secondPeer, 0);
        assertTrue(gate.isRenewalAllowed(), "leases are renewed");
        nowSeconds = known + 19.5;
        exchangeGrant("q", secondPeer, 0);
        assertFalse(gate.isRenewalAllowed(), "leases are not renewed");
        assertEquals(List.of(COMMANDS.get(1)), gate.permittedCommands(COMMANDS));
        assertTrue(counters.withheldResponses() > 0, "withheld responses are counted");
        recordsReadAtSeconds = nowSeconds - 1;
        assertTrue(gate.isRenewalAllowed(), "leases are renewed");
    }

    /**
     * What this controller confirmed before its term, but after the records were read, is applied
     * when the term begins.
     */
    @Test
    void cancellationsConfirmedBeforeTheTermAreApplied() {
        leader.beforeStatusReported(job("job-1", JobStatus.CANCELLED));
        leader.onRecordsLoaded(3, appliedCancellations::add);
        assertEquals(List.of("job-1"), appliedCancellations);
        leader.onTermEnded();
        leader.beforeStatusReported(job("job-2", JobStatus.CANCELLED));
        assertEquals(List.of("job-1"), appliedCancellations);
        // Without a term the records alone say what is known.
        nowSeconds = 110;
        assertEquals(100, leader.knownUntilSeconds());
        assertEquals(Optional.empty(), leader.acknowledgementFor("p"));
    }

    /**
     * A leader of a version that does not request statements gets none, and neither does one of an
     * older term than the newest seen.
     */
    @Test
    void noStatementWithoutRequestOrForAnOlderTerm() {
        firstPeer.beforeStatusReported(job("job-1", JobStatus.CANCELLED));
        assertFalse(response(firstPeer, request(3, Optional.empty())).has("told"));
        Optional<CancellationCodec.Acknowledgement> nothing =
                Optional.of(new CancellationCodec.Acknowledgement(0, 0));
        ObjectNode response = response(firstPeer, request(3, nothing));
        assertEquals("job-1", response.path("told").path("jobs").path(0).asText());
        assertFalse(response(firstPeer, request(2, nothing)).has("told"));
    }

    private static Heartbeat heartbeat(long token, String... jobs) {
        return new Heartbeat(
                "vm-1",
                "10.0.0.1:1",
                "m",
                "a",
                false,
                1,
                5,
                token,
                null,
                Stream.of(jobs)
                        .map(job -> new TaskStatus(job, 0, 1, TaskPhase.RUNNING, null, false))
                        .toList());
    }

    /**
     * Until the records of a new term are applied no command stops a task: leases of tasks that are
     * known to be cancelled are not renewed.
     */
    @Test
    void cancelledTasksAreNotRenewedWhileRecordsAreRead() {
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

    /** Missing or malformed statements are ignored as a whole, and malformed ones are counted. */
    @Test
    void malformedStatementsAreIgnored() throws MalformedMessageException {
        leader.onRecordsLoaded(3, appliedCancellations::add);
        String good = "\"life\":5,\"since_s\":40,\"to\":1,\"whole\":true,\"jobs\":[\"job-7\"]";
        for (String bad : malformedStatements(good)) {
            long before = counters.malformedMessages();
            leader.onGrantResponse("p", decode("{\"told\":" + bad + "}"), nowSeconds);
            assertEquals(before + 1, counters.malformedMessages(), bad);
        }
        leader.onGrantResponse("p", decode("{}"), nowSeconds);
        leader.onGrantResponse("stranger", decode("{\"told\":{" + good + "}}"), nowSeconds);
        leader.onGrantResponse("p", decode("{\"told\":null}"), nowSeconds);
        assertEquals(13, counters.malformedMessages());
        assertEquals(List.of("job-7"), appliedCancellations);
        assertEquals(100, leader.knownUntilSeconds(), 1e-9);
    }

    private static List<String> malformedStatements(String good) {
        return List.of(
                "{}",
                "7",
                "[]",
                "{" + good.replace("\"life\":5", "\"life\":\"x\"") + "}",
                "{" + good.replace("40", "-1") + "}",
                "{" + good.replace("40", "\"NaN\"") + "}",
                "{" + good.replace("\"to\":1", "\"to\":-1") + "}",
                "{" + good.replace("\"to\":1,", "") + "}",
                "{" + good.replace("true", "1") + "}",
                "{" + good.replace("[\"job-7\"]", "\"job-7\"") + "}",
                "{" + good.replace("[\"job-7\"]", "[7]") + "}",
                "{" + good.replace("job-7", "x y") + "}",
                "{"
                        + good.replace(
                                "[\"job-7\"]", "[" + "\"job-7\",".repeat(10_000) + "\"job-7\"]")
                        + "}");
    }

    private static GrantResponse decode(String json) throws MalformedMessageException {
        return GrantCodec.decodeResponse(
                MessageEncoding.decodeJson(json.getBytes(StandardCharsets.UTF_8)));
    }
}
