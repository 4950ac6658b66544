package io.kelphoist.scheduler.heartbeats;

import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.Resources;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.SentStarts;
import java.util.List;

/** A heartbeat that was applied to its machine, and whose worker waits for the response. */
final class AcceptedHeartbeat implements PendingResponse {
    private static final double BRIEF_HOLD_SECONDS = 0.25;

    /** While a response is held its worker cannot report that a task has ended. */
    private static final double LONG_HOLD_SECONDS = 2.0;

    /** For machines whose tasks do not end by themselves; a worker waits 4 s for a response. */
    private static final double STEADY_HOLD_SECONDS = 3.2;

    private final JobRegistry jobs;
    private final Machine machine;
    private final Heartbeat heartbeat;
    private final double acceptedAtSeconds;

    AcceptedHeartbeat(
            JobRegistry jobs, Machine machine, Heartbeat heartbeat, double acceptedAtSeconds) {
        this.jobs = jobs;
        this.machine = machine;
        this.heartbeat = heartbeat;
        this.acceptedAtSeconds = acceptedAtSeconds;
    }

    @Override
    public boolean isDue(Hold hold, double nowSeconds) {
        return nowSeconds >= acceptedAtSeconds + holdSeconds(hold, nowSeconds);
    }

    private double holdSeconds(Hold hold, double nowSeconds) {
        if (machine.state() == Machine.State.BOOTING || machine.attempts().hasUnrecordedStart()) {
            return BRIEF_HOLD_SECONDS;
        }
        if (!machine.acceptsWork(nowSeconds)
                || machine.attempts().hasDueStart()
                || !hasFreeResources()) {
            return 0;
        }
        if (hold == Hold.BRIEF || machine.attempts().hasStopping()) {
            return BRIEF_HOLD_SECONDS;
        }
        return machine.attempts().areSteady() ? STEADY_HOLD_SECONDS : LONG_HOLD_SECONDS;
    }

    /** Whether tasks of the usual kind may fit: on machines with GPUs, those that need one. */
    private boolean hasFreeResources() {
        Resources free = machine.free();
        boolean hasGpus = machine.type().capacity().gpus() > 0;
        return free.cpus() > 0 && free.memoryGb() > 0 && (!hasGpus || free.gpus() > 0);
    }

    @Override
    public List<WorkerCommand> takeCommands(SentStarts sentStarts, double nowSeconds) {
        return mayReceiveCommands()
                ? HeartbeatResponder.commands(jobs, machine, heartbeat, sentStarts, nowSeconds)
                : List.of();
    }

    private boolean mayReceiveCommands() {
        return machine.state().isReporting() || machine.state() == Machine.State.TERMINATING;
    }
}
