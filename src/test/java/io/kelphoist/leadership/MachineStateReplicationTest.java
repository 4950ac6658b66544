package io.kelphoist.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.peer.HandoverMessage;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Machine state at the end of a term. Guards against a handover from a leader that did not know the
 * machines yet, which leaves its successor with an empty replica that counts as complete.
 */
class MachineStateReplicationTest {
    private static final long TERM = 5;

    private final EventLoop loop =
            new EventLoop() {
                @Override
                public double nowSeconds() {
                    return 100;
                }

                @Override
                public void schedule(double seconds, Runnable task) {
                    throw new UnsupportedOperationException();
                }
            };

    @Test
    void handoverBeforeTheFailoverIsCompleteLeavesNoCompleteReplica() {
        MachineStateReplication leader = new MachineStateReplication(/* enabled= */ true, loop);
        Failover failover =
                new Failover(
                        TERM,
                        /* timeoutSeconds= */ 5,
                        /* listLagSeconds= */ 5,
                        /* maxInFlight= */ 8,
                        (machine, agentEpoch) -> {},
                        /* nowSeconds= */ 100);
        leader.onTermStarted(failover);
        leader.onTermEnded(newScheduler(failover));
        MachineStateReplication follower = new MachineStateReplication(/* enabled= */ true, loop);
        follower.onPeerTermEnded(
                new HandoverMessage(TERM, "a", Optional.of("b"), leader.handoverUpdate("b")));
        assertFalse(follower.isReplicaCurrent(), "an empty replica counts as complete");
    }

    private static SchedulerState newScheduler(Failover failover) {
        SchedulingPolicy policy =
                new SchedulingPolicy(
                        List.of("z"),
                        List.of(),
                        /* heartbeatIntervalSeconds= */ 4,
                        /* leaseSeconds= */ 22,
                        /* gangPeerTimeoutSeconds= */ 8,
                        /* machineHoldBackoffSeconds= */ 5,
                        /* localityWaitSeconds= */ 3,
                        /* machineHoldSeconds= */ 20,
                        /* gangReservationSeconds= */ 15,
                        /* headroom= */ 0,
                        /* idleBeforeScaleInSeconds= */ 40,
                        /* maxRecordBytes= */ 4000,
                        /* startWriteIntervalSeconds= */ 0.1,
                        /* progressWriteIntervalSeconds= */ 0.5,
                        /* startObjectiveSeconds= */ Map.of());
        return new SchedulerState(
                policy, ignoringOutput(), DelegatedRenewals.NONE, failover, TERM, List.of());
    }

    /** Returns an output that does nothing: the scheduler makes no decision. */
    private static SchedulerOutput ignoringOutput() {
        return (SchedulerOutput)
                Proxy.newProxyInstance(
                        SchedulerOutput.class.getClassLoader(),
                        new Class<?>[] {SchedulerOutput.class},
                        (proxy, method, arguments) -> null);
    }
}
