package io.kelphoist.scheduler.heartbeats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kelphoist.model.ExitReason;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.JobKind;
import io.kelphoist.model.JobSpecBuilder;
import io.kelphoist.model.Resources;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.TaskAttemptFixture;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import io.kelphoist.scheduler.spi.PendingResponse.Hold;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptedHeartbeatTest {
    /** A worker waits this long for a response. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 4;

    private final Machine machine =
            TaskAttemptFixture.createMachine("vm-1", /* zone= */ 0, /* spot= */ false);
    private final AcceptedHeartbeat response = createResponse();

    AcceptedHeartbeatTest() {
        new MachineRegistry(added -> {}).add(machine);
    }

    /** Guards against starts that wait for the next heartbeat of a machine with free resources. */
    @Test
    void startThatIsDecidedMeanwhileIsSentOnceItIsStored() {
        assertFalse(response.isDue(Hold.LONG, /* nowSeconds= */ 1));
        TaskAttempt attempt = addAttempt(JobKind.ARRAY);
        assertFalse(response.isDue(Hold.LONG, 0.1), "a start that is not stored must not be sent");
        attempt.markStartRecorded();
        assertTrue(response.isDue(Hold.LONG, 0.1));
        SentStarts sentStarts = new SentStarts();
        assertEquals(
                List.of(new WorkerCommand.Start("job-1", 0, 1)),
                response.takeCommands(sentStarts, 1));
        assertEquals(1, sentStarts.count());
        assertEquals(1, sentStarts.waitSeconds(), 1e-9);
    }

    /** Guards against leases that end because responses come after the worker has given up. */
    @Test
    void responseIsDueBeforeTheWorkerGivesUp() {
        assertTrue(response.isDue(Hold.LONG, RESPONSE_TIMEOUT_SECONDS - 0.5));
    }

    /** Guards against sockets that are held although they would be closed with the response. */
    @Test
    void briefHoldEndsAfterAMoment() {
        assertFalse(response.isDue(Hold.BRIEF, 0.1));
        assertTrue(response.isDue(Hold.BRIEF, 0.4));
    }

    /** Guards against ends of tasks that are reported late, while nothing can be started. */
    @Test
    void fullOrDrainingMachineIsAnsweredAtOnce() {
        machine.resources().allocate(machine.type().capacity());
        assertTrue(response.isDue(Hold.LONG, 0));
        machine.resources().deallocate(machine.type().capacity());
        assertFalse(response.isDue(Hold.LONG, 0));
        Resources allGpus =
                new Resources(/* cpus= */ 1, machine.type().capacity().gpus(), /* memoryGb= */ 1);
        machine.resources().allocate(allGpus);
        assertTrue(response.isDue(Hold.LONG, 0));
        machine.resources().deallocate(allGpus);
        machine.transitionTo(Machine.State.DRAINING, /* nowSeconds= */ 0);
        assertTrue(response.isDue(Hold.LONG, 0));
    }

    /** Guards against ends of tasks that are reported late where work makes room for other work. */
    @Test
    void machineWithAStopIsHeldBriefly() {
        TaskAttempt attempt = addAttempt(JobKind.SERVICE);
        attempt.markStartRecorded();
        attempt.transitionTo(TaskAttempt.State.RUNNING, /* reason= */ null, /* nowSeconds= */ 0);
        assertFalse(response.isDue(Hold.LONG, 1));
        attempt.requestStop(/* graceSeconds= */ 0, /* nowSeconds= */ 0);
        assertTrue(response.isDue(Hold.LONG, 1));
    }

    /** Guards against commands to a machine that was lost while its response was held. */
    @Test
    void lostMachineGetsNoCommands() {
        addAttempt(JobKind.ARRAY).markStartRecorded();
        machine.transitionTo(Machine.State.LOST, /* nowSeconds= */ 1);
        assertEquals(List.of(), response.takeCommands(new SentStarts(), 1));
    }

    /** Guards against a start that is lost: it is repeated while the worker does not list it. */
    @Test
    void startIsRepeatedUntilTheWorkerListsTheTask() {
        TaskAttempt attempt = addAttempt(JobKind.ARRAY);
        attempt.markStartRecorded();
        SentStarts sentStarts = new SentStarts();
        response.takeCommands(sentStarts, 1);
        assertEquals(1, createResponse().takeCommands(sentStarts, 2).size());
        assertEquals(1, sentStarts.repeatedCount());
        attempt.transitionTo(TaskAttempt.State.EXITED, ExitReason.ERROR, /* nowSeconds= */ 3);
        assertEquals(
                List.of(new WorkerCommand.Forget("job-1", 0, 1)),
                createResponse().takeCommands(sentStarts, 3));
    }

    private AcceptedHeartbeat createResponse() {
        Heartbeat heartbeat =
                new Heartbeat(
                        machine.name(),
                        machine.address(),
                        machine.type().name(),
                        /* zone= */ "a",
                        /* spot= */ false,
                        /* agentEpoch= */ 1,
                        /* sequenceNumber= */ 1,
                        /* fencingToken= */ 1,
                        /* terminationNoticeSeconds= */ null,
                        List.of());
        return new AcceptedHeartbeat(
                new JobRegistry(), machine, heartbeat, /* acceptedAtSeconds= */ 0);
    }

    private TaskAttempt addAttempt(JobKind kind) {
        TaskAttempt attempt =
                TaskAttemptFixture.createAttempt(
                        new JobSpecBuilder("job-1").kind(kind).build(), 0, machine);
        machine.addAttempt(attempt);
        return attempt;
    }
}
