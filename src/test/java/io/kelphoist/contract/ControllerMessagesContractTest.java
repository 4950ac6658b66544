package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.delegation.HeldDelegation;
import io.kelphoist.delegation.PeerStatus;
import io.kelphoist.events.JobEventType;
import io.kelphoist.events.TaskEventLog;
import io.kelphoist.events.TransientEvent;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.peer.CancellationCodec;
import io.kelphoist.peer.DelegationCodec;
import io.kelphoist.peer.ReplicationCodec;
import io.kelphoist.peer.TaskEventCodec;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.wire.MalformedMessageException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The encoding of the JSON messages between controllers. Guards against a change after which
 * controllers of different versions don't understand each other, as during an upgrade.
 */
class ControllerMessagesContractTest {
    private static final long TERM = 41;
    private static final double NEVER_SECONDS = Double.POSITIVE_INFINITY;

    private static final DelegationTiming TIMING =
            DelegationTiming.of(/* cancelSeconds= */ 40, /* leaseSeconds= */ 6);

    /** Incarnations are less than 2^52. */
    private static final long MAX_INCARNATION = 4_503_599_627_370_495L;

    /** A digest may be any long; this one is 7 * 2^60. */
    private static final long LARGE_DIGEST = 8_070_450_532_247_928_832L;

    @Test
    void fieldNamesOfGrantMessagesStayTheSame() {
        assertEquals(
                List.of("care", "follow", "told"),
                List.of(
                        DelegationCodec.FIELD_NAME,
                        ReplicationCodec.FIELD_NAME,
                        CancellationCodec.FIELD_NAME));
    }

    @Nested
    class DelegationFields {
        @Test
        void offerInAGrantRequestIsDecodedAndEncodedAgain() {
            offerIsDecodedAndEncodedAgain(
                    "peer/care-offer",
                    new DelegationOffer(
                            TERM,
                            MAX_INCARNATION,
                            /* sequenceNumber= */ 7,
                            /* startsAtSeconds= */ 123.5,
                            ImmutableSet.of("vm-1", "vm-2")));
        }

        @Test
        void revocationIsDecodedAndEncodedAgain() {
            offerIsDecodedAndEncodedAgain(
                    "peer/care-offer-withdrawn",
                    new DelegationOffer(
                            TERM,
                            /* incarnation= */ 1,
                            /* sequenceNumber= */ 8,
                            DelegationOffer.REVOKED_START_SECONDS,
                            ImmutableSet.of()));
        }

        private void offerIsDecodedAndEncodedAgain(String name, DelegationOffer offer) {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(name, DelegationCodec.encodeOffer(offer));
            // The stored message is decoded to an equal value.
            DelegationOffer decoded =
                    DelegationCodec.decodeOffer(GoldenFiles.storedJsonMessage(name), TERM)
                            .orElseThrow();
            assertEquals(offer, decoded);
            GoldenFiles.assertJsonMessage(name, DelegationCodec.encodeOffer(decoded));
        }

        @Test
        void statusOfAControllerThatNeverRenewedALeaseIsEncodedAndDecoded() {
            // given
            HeldDelegation delegation = new HeldDelegation(TIMING, "a", /* incarnation= */ 5);
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(
                    "peer/care-statement-never-cared",
                    DelegationCodec.encodeStatus(
                            delegation.statusFor(
                                    TERM, /* uptimeSeconds= */ 60.5, /* nowSeconds= */ 100)));
            // The stored message is decoded to an equal value.
            assertEquals(
                    new PeerStatus(
                            /* incarnation= */ 5,
                            /* clockSeconds= */ 100,
                            /* uptimeSeconds= */ 60.5,
                            NEVER_SECONDS,
                            /* sequenceNumber= */ 0),
                    DelegationCodec.decodeStatus(
                                    GoldenFiles.storedJsonMessage(
                                            "peer/care-statement-never-cared"))
                            .orElseThrow());
        }

        @Test
        void statusOfAControllerThatRenewedALeaseIsEncodedAndDecoded() {
            // given
            HeldDelegation delegation = new HeldDelegation(TIMING, "a", /* incarnation= */ 5);
            delegation.onLeaderMessage(TERM, /* nowSeconds= */ 90);
            delegation.onOffer(
                    new DelegationOffer(
                            TERM,
                            /* incarnation= */ 5,
                            /* sequenceNumber= */ 3,
                            /* startsAtSeconds= */ 90,
                            ImmutableSet.of()),
                    /* nowSeconds= */ 91);
            delegation.onRenewal(/* nowSeconds= */ 95);
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(
                    "peer/care-statement",
                    DelegationCodec.encodeStatus(
                            delegation.statusFor(
                                    TERM, /* uptimeSeconds= */ 60.5, /* nowSeconds= */ 100)));
            // The stored message is decoded to an equal value.
            assertEquals(
                    new PeerStatus(
                            /* incarnation= */ 5,
                            /* clockSeconds= */ 100,
                            /* uptimeSeconds= */ 60.5,
                            /* sinceRenewalSeconds= */ 5,
                            /* sequenceNumber= */ 3),
                    DelegationCodec.decodeStatus(
                                    GoldenFiles.storedJsonMessage("peer/care-statement"))
                            .orElseThrow());
        }
    }

    @Nested
    class ReplicationFields {
        private final ReplicatedMachine machineWithEveryField =
                new ReplicatedMachine(
                        "vm-1",
                        "10.0.0.1:9000",
                        "g8",
                        "a",
                        /* spot= */ true,
                        /* agentEpoch= */ 3,
                        /* hasReported= */ true,
                        /* drainedAsFaulty= */ true,
                        /* possiblyDisconnected= */ true,
                        /* commandOutcomeUnknown= */ true,
                        /* launchedAtSeconds= */ 12.5,
                        /* terminationAtSeconds= */ 99.25);
        private final ReplicatedMachine machineWithoutOptionalFields =
                new ReplicatedMachine(
                        "vm-2",
                        /* address= */ null,
                        "c4",
                        "b",
                        /* spot= */ false,
                        /* agentEpoch= */ 0,
                        /* hasReported= */ false,
                        /* drainedAsFaulty= */ false,
                        /* possiblyDisconnected= */ false,
                        /* commandOutcomeUnknown= */ false,
                        /* launchedAtSeconds= */ -3,
                        /* terminationAtSeconds= */ NEVER_SECONDS);

        @Test
        void updateWithEveryFieldIsDecodedAndEncodedAgain() {
            Map<Integer, Long> shardDigests = new TreeMap<>(Map.of(0, -1L, 15, LARGE_DIGEST));
            Map<Integer, List<ReplicatedMachine>> repairedShards =
                    new TreeMap<>(Map.of(3, List.of(machineWithoutOptionalFields), 4, List.of()));
            updateIsDecodedAndEncodedAgain(
                    "peer/follow-every-field",
                    new MachineStatePublisher.MachineStateUpdate(
                            /* baseSequence= */ 5,
                            /* lastSequence= */ 9,
                            /* headSequence= */ 12,
                            List.of(machineWithEveryField, machineWithoutOptionalFields),
                            List.of("vm-3", "vm-4"),
                            shardDigests,
                            repairedShards,
                            /* clockSeconds= */ 1234.5));
        }

        @Test
        void updateWithoutChangesIsDecodedAndEncodedAgain() {
            updateIsDecodedAndEncodedAgain(
                    "peer/follow-without-changes", updateOf(/* lastSequence= */ 0, List.of()));
        }

        @Test
        void eachFlagOfAMachineHasItsOwnBit() {
            List<ReplicatedMachine> machines =
                    List.of(
                            machineWithFlag(0),
                            machineWithFlag(1),
                            machineWithFlag(2),
                            machineWithFlag(3),
                            machineWithFlag(4));
            updateIsDecodedAndEncodedAgain(
                    "peer/follow-machine-flags", updateOf(/* lastSequence= */ 1, machines));
        }

        private MachineStatePublisher.MachineStateUpdate updateOf(
                long lastSequence, List<ReplicatedMachine> machines) {
            return new MachineStatePublisher.MachineStateUpdate(
                    /* baseSequence= */ 0,
                    lastSequence,
                    /* headSequence= */ lastSequence,
                    machines,
                    List.of(),
                    Map.of(),
                    Map.of(),
                    /* clockSeconds= */ 0);
        }

        private ReplicatedMachine machineWithFlag(int flag) {
            return new ReplicatedMachine(
                    "vm-" + flag,
                    "10.0.0.1:9000",
                    "g8",
                    "a",
                    /* spot= */ flag == 0,
                    /* agentEpoch= */ 1,
                    /* hasReported= */ flag == 1,
                    /* drainedAsFaulty= */ flag == 2,
                    /* possiblyDisconnected= */ flag == 3,
                    /* commandOutcomeUnknown= */ flag == 4,
                    /* launchedAtSeconds= */ 0,
                    /* terminationAtSeconds= */ NEVER_SECONDS);
        }

        private void updateIsDecodedAndEncodedAgain(
                String name, MachineStatePublisher.MachineStateUpdate update) {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(name, ReplicationCodec.encodeUpdate(update));
            // The stored message is decoded to an equal value.
            MachineStatePublisher.MachineStateUpdate decoded =
                    ReplicationCodec.decodeUpdate(GoldenFiles.storedJsonMessage(name))
                            .orElseThrow();
            assertEquals(update, decoded);
            GoldenFiles.assertJsonMessage(name, ReplicationCodec.encodeUpdate(decoded));
        }

        @Test
        void statusOfAFollowerIsDecodedAndEncodedAgain() {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(
                    "peer/follow-statement",
                    ReplicationCodec.encodeStatus(/* appliedSequence= */ 9, List.of(3, 4)));
            // The stored message is decoded to an equal value.
            ReplicationCodec.ReplicaStatus decoded =
                    ReplicationCodec.decodeStatus(
                                    GoldenFiles.storedJsonMessage("peer/follow-statement"))
                            .orElseThrow();
            assertEquals(new ReplicationCodec.ReplicaStatus(9, List.of(3, 4)), decoded);
            GoldenFiles.assertJsonMessage(
                    "peer/follow-statement",
                    ReplicationCodec.encodeStatus(
                            decoded.appliedSequence(), decoded.divergedShards()));
        }
    }

    @Nested
    class CancellationFields {
        @Test
        void acknowledgementInAGrantRequestIsDecodedAndEncodedAgain() {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(
                    "peer/told-acknowledged",
                    CancellationCodec.encodeAcknowledgement(
                            /* incarnation= */ 5, /* upToSequence= */ 17));
            // The stored message is decoded to an equal value.
            CancellationCodec.Acknowledgement decoded =
                    CancellationCodec.decodeAcknowledgement(
                                    GoldenFiles.storedJsonMessage("peer/told-acknowledged"))
                            .orElseThrow();
            assertEquals(
                    new CancellationCodec.Acknowledgement(
                            /* incarnation= */ 5, /* upToSequence= */ 17),
                    decoded);
            GoldenFiles.assertJsonMessage(
                    "peer/told-acknowledged",
                    CancellationCodec.encodeAcknowledgement(
                            decoded.incarnation(), decoded.upToSequence()));
        }

        @Test
        void statementIsDecodedAndEncodedAgain() throws MalformedMessageException {
            statementIsDecodedAndEncodedAgain(
                    "peer/told-statement",
                    new ConfirmedCancellations.Statement(
                            /* incarnation= */ 5,
                            /* coveredSeconds= */ 12.25,
                            /* lastSequenceNumber= */ 19,
                            /* complete= */ false,
                            List.of("job-000412", "job-7")));
        }

        @Test
        void statementWithoutJobsIsDecodedAndEncodedAgain() throws MalformedMessageException {
            statementIsDecodedAndEncodedAgain(
                    "peer/told-statement-without-jobs",
                    new ConfirmedCancellations.Statement(
                            /* incarnation= */ 5,
                            /* coveredSeconds= */ 0,
                            /* lastSequenceNumber= */ 0,
                            /* complete= */ true,
                            List.of()));
        }

        private void statementIsDecodedAndEncodedAgain(
                String name, ConfirmedCancellations.Statement statement)
                throws MalformedMessageException {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(name, CancellationCodec.encodeStatement(statement));
            // The stored message is decoded to an equal value.
            ConfirmedCancellations.Statement decoded =
                    CancellationCodec.decodeStatement(GoldenFiles.storedJsonMessage(name))
                            .orElseThrow();
            assertEquals(statement, decoded);
            GoldenFiles.assertJsonMessage(name, CancellationCodec.encodeStatement(decoded));
        }

        @Test
        void missingStatementIsDecodedAsEmpty() throws MalformedMessageException {
            assertEquals(
                    Optional.empty(), CancellationCodec.decodeStatement(MissingNode.getInstance()));
        }
    }

    @Nested
    class JobEvents {
        /** Each with the numbers of done and running tasks, and the time in ms since the epoch. */
        private final List<TransientEvent> eventsOfEveryType =
                List.of(
                        new TransientEvent(
                                "job-1",
                                new JobEventType.WaitingForDependencies(),
                                0,
                                0,
                                1_790_000_000_123L),
                        new TransientEvent("job-2", new JobEventType.CapacityReserved(3), 0, 0, 2),
                        new TransientEvent("job-3", new JobEventType.Started(4, "vm-1"), 1, 2, 3),
                        new TransientEvent(
                                "job-4",
                                new JobEventType.Moved(5, "vm-1", "vm-2", "machine gone"),
                                3,
                                4,
                                4),
                        new TransientEvent(
                                "job-5", new JobEventType.Stopped(6, "vm-3", "stopped"), 5, 6, 5),
                        new TransientEvent("job-6", new JobEventType.Progress(), 7, 8, 6));

        @Test
        void eventsOfEveryTypeAreDecodedAndEncodedAgain() {
            eventsAreDecodedAndEncodedAgain(
                    "peer/events-every-kind",
                    new TaskEventLog.Update(
                            /* nextSequence= */ 6, /* isSnapshot= */ false, eventsOfEveryType));
        }

        @Test
        void snapshotWithoutJobsIsDecodedAndEncodedAgain() {
            eventsAreDecodedAndEncodedAgain(
                    "peer/events-present-state",
                    new TaskEventLog.Update(
                            /* nextSequence= */ 0, /* isSnapshot= */ true, List.of()));
        }

        private void eventsAreDecodedAndEncodedAgain(String name, TaskEventLog.Update update) {
            // The encoding stays the same.
            GoldenFiles.assertJsonMessage(name, TaskEventCodec.encode(TERM, update));
            // The stored message is decoded to an equal value.
            ObjectNode message = GoldenFiles.storedJsonMessage(name);
            TaskEventLog.Update decoded = TaskEventCodec.decode(message);
            assertEquals(update, decoded);
            assertEquals(TERM, message.get("term").asLong());
            GoldenFiles.assertJsonMessage(name, TaskEventCodec.encode(TERM, decoded));
        }
    }
}
