package io.kelphoist.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.TaskPhase;
import io.kelphoist.model.TaskStatus;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.wire.MalformedMessageException;
import io.kelphoist.wire.WorkerCodec;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * The encoding of workers' heartbeats, the responses to them and direct commands. Guards against a
 * change after which controllers and workers of different versions don't understand each other.
 */
class WorkerMessagesContractTest {
    private static final List<WorkerCommand> COMMANDS =
            List.of(
                    new WorkerCommand.Start("job-000412", /* taskIndex= */ 4, /* attemptId= */ 2),
                    new WorkerCommand.Stop(
                            "job-000377",
                            /* taskIndex= */ 1,
                            /* attemptId= */ 1,
                            /* graceSeconds= */ 10),
                    new WorkerCommand.Stop(
                            "job-000378",
                            /* taskIndex= */ 0,
                            /* attemptId= */ 7,
                            /* graceSeconds= */ 0),
                    new WorkerCommand.Forget("job-000398", /* taskIndex= */ 0, /* attemptId= */ 1));

    /**
     * Every task phase, and every exit reason of an exited task. Each row has the job's id, the
     * task's index, the id of the attempt, the phase, the exit reason (null until the task exits)
     * and whether a checkpoint was saved.
     */
    private static final List<TaskStatus> TASKS =
            List.of(
                    new TaskStatus("job-000412", 3, 2, TaskPhase.RUNNING, null, false),
                    new TaskStatus("job-000412", 4, 2, TaskPhase.FETCHING, null, false),
                    new TaskStatus("job-000412", 5, 2, TaskPhase.WAITING, null, false),
                    new TaskStatus("job-000413", 0, 9, TaskPhase.SAVING, null, false),
                    new TaskStatus("job-000398", 0, 1, TaskPhase.EXITED, ExitReason.DONE, false),
                    new TaskStatus("job-000398", 1, 1, TaskPhase.EXITED, ExitReason.STOPPED, true),
                    new TaskStatus(
                            "job-000398", 2, 1, TaskPhase.EXITED, ExitReason.PEER_EXITED, false),
                    new TaskStatus(
                            "job-000398", 3, 1, TaskPhase.EXITED, ExitReason.PEERS_MISSING, false),
                    new TaskStatus("job-000398", 4, 1, TaskPhase.EXITED, ExitReason.ERROR, false),
                    new TaskStatus(
                            "job-000398",
                            5,
                            1,
                            TaskPhase.EXITED,
                            ExitReason.INSUFFICIENT_RESOURCES,
                            false),
                    new TaskStatus("job-000398", 6, 1, TaskPhase.EXITED, ExitReason.BUSY, false),
                    new TaskStatus(
                            "job-000398", 7, 1, TaskPhase.EXITED, ExitReason.UNKNOWN, false));

    @Nested
    class Heartbeats {
        @Test
        void heartbeatWithEveryTaskPhaseAndExitReasonIsDecoded() throws MalformedMessageException {
            // given
            ObjectNode message = GoldenFiles.receivedCborMessage("worker/report-every-field");
            // when
            Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(message);
            // then
            assertEquals(
                    new Heartbeat(
                            "vm-000231",
                            "10.1.0.232:9000",
                            "g8",
                            "a",
                            /* spot= */ true,
                            /* agentEpoch= */ 1,
                            /* sequenceNumber= */ 88,
                            /* fencingToken= */ 41,
                            /* terminationNoticeSeconds= */ 62.5,
                            TASKS),
                    heartbeat);
        }

        @Test
        void heartbeatWithoutOptionalFieldsIsDecoded() throws MalformedMessageException {
            // given
            ObjectNode message =
                    GoldenFiles.receivedCborMessage("worker/report-without-optional-fields");
            // when
            Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(message);
            // then
            assertEquals(
                    new Heartbeat(
                            "vm-1",
                            "10.0.0.1:9000",
                            "c4",
                            "b",
                            /* spot= */ false,
                            /* agentEpoch= */ 3,
                            /* sequenceNumber= */ 0,
                            /* fencingToken= */ 0,
                            /* terminationNoticeSeconds= */ null,
                            List.of()),
                    heartbeat);
        }
    }

    @Nested
    class ResponsesAndCommands {
        @Test
        void heartbeatResponseWithEveryCommandIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "worker/answer-every-command",
                    WorkerCodec.encodeHeartbeatResponse(/* fencingToken= */ 41, COMMANDS));
        }

        @Test
        void heartbeatResponseWithoutCommandsIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "worker/answer-without-commands",
                    WorkerCodec.encodeHeartbeatResponse(/* fencingToken= */ 42, List.of()));
        }

        @Test
        void directMessageWithEveryCommandIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "worker/orders-every-command",
                    WorkerCodec.encodeCommands(
                            /* fencingToken= */ 41, /* agentEpoch= */ 3, COMMANDS));
        }

        @Test
        void redirectToTheLeaderIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "worker/redirect-to-leader", WorkerCodec.encodeRedirect("hoist-2"));
        }

        @Test
        void redirectWithoutALeaderIsEncoded() {
            GoldenFiles.assertCborMessage(
                    "worker/redirect-without-leader",
                    WorkerCodec.encodeRedirect(/* leaderName= */ null));
        }
    }
}
