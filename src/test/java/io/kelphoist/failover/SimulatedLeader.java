package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.leadership.TermRecordStore;
import io.kelphoist.leadership.TermRecordWriter;
import io.kelphoist.model.CloudInstance;
import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.model.Resources;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.Team;
import io.kelphoist.replication.MachineStatePublisher;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.List;
import java.util.Map;

/** The term of one leader: the scheduler's state, the failover and the record store. */
final class SimulatedLeader {
    static final MachineType MACHINE_TYPE =
            new MachineType(
                    "m",
                    new Resources(/* cpus= */ 8, /* gpus= */ 2, /* memoryGb= */ 64),
                    /* cacheGb= */ 50,
                    /* fetchGbPerSecond= */ 1,
                    /* price= */ 8,
                    /* spotPrice= */ 3,
                    /* bootSeconds= */ 25,
                    /* zones= */ List.of("a"));

    private static final double HEARTBEAT_ROUND_SECONDS =
            1.25 * SimulationContext.HEARTBEAT_INTERVAL_SECONDS;

    /**
     * A leader whose first decision is earlier than this did not wait for a full heartbeat round.
     */
    private static final double QUICK_FAILOVER_SECONDS = HEARTBEAT_ROUND_SECONDS - 0.2;

    private static final int MAX_VALUE_BYTES = 600;

    /**
     * A leader reads changes, and receives acknowledged cancellations, in one of this many steps on
     * average.
     */
    private static final int MEAN_STEPS_PER_READ = 4;

    /**
     * The parts of the simulation that all leaders share.
     *
     * @param maxStatusRequests maximum number of status requests without a response
     */
    record Dependencies(
            SimulationContext context,
            SimulatedStateStore stateStore,
            SimulatedNetwork network,
            SimulatedFleet fleet,
            AcknowledgedCancellationLog cancellations,
            SimulationChecker checker,
            Team team,
            int maxStatusRequests) {}

    private final Dependencies dependencies;
    private final SimulationContext context;
    private final Leadership leadership;
    private final long term;
    private final String controllerName;
    private final double startedAtSeconds;
    private final Failover failover;
    private final SchedulerState schedulerState;
    private final TermRecordStore recordStore;
    private final LeaderOutput output;
    private final MachineStatePublisher machineStatePublisher = new MachineStatePublisher();
    private long readRevision;
    private int receivedCancellations;
    private boolean recordsLoaded;
    private double frozenUntilSeconds;
    private double firstDecisionAfterSeconds = Double.NaN;

    /**
     * Starts a term.
     *
     * @param controllerName the controller that was elected; null in a run without elections
     */
    SimulatedLeader(
            Dependencies dependencies, Leadership leadership, long term, String controllerName) {
        this.dependencies = dependencies;
        this.context = dependencies.context();
        this.leadership = leadership;
        this.term = term;
        this.controllerName = controllerName;
        double now = context.nowSeconds();
        startedAtSeconds = now;
        failover =
                new Failover(
                        term,
                        /* timeoutSeconds= */ HEARTBEAT_ROUND_SECONDS,
                        /* listLagSeconds= */ 1,
                        dependencies.maxStatusRequests(),
                        this::requestStatus,
                        now);
        recordStore = createRecordStore();
        output = new LeaderOutput(dependencies, this, recordStore);
        schedulerState =
                new SchedulerState(
                        createPolicy(dependencies.team()),
                        output,
                        DelegatedRenewals.NONE,
                        failover,
                        term,
                        List.of(MACHINE_TYPE));
    }

    private TermRecordStore createRecordStore() {
        SimulatedStateStore stateStore = dependencies.stateStore();
        StateStoreSimulation.View view = stateStore.store().viewFor(this::isRefusedByStore);
        return new TermRecordStore(
                view,
                new TermRecordWriter(
                        view,
                        stateStore.createCommitter(view),
                        stateStore.store(),
                        leadership.newestTermRevision(),
                        /* onNewerTerm= */ () -> {},
                        /* requestTick= */ () -> {}),
                stateStore.store(),
                /* wallClockMillis= */ () -> 0,
                MAX_VALUE_BYTES);
    }

    private static SchedulingPolicy createPolicy(Team team) {
        return new SchedulingPolicy(
                /* zones= */ List.of("a"),
                List.of(team),
                SimulationContext.HEARTBEAT_INTERVAL_SECONDS,
                SimulationContext.LEASE_SECONDS,
                SimulatedWorker.GANG_PEER_SECONDS,
                /* machineHoldBackoffSeconds= */ 5,
                /* localityWaitSeconds= */ 1,
                /* machineHoldSeconds= */ 20,
                /* gangReservationSeconds= */ 15,
                /* headroom= */ 0,
                /* idleBeforeScaleInSeconds= */ 1e6,
                /* maxRecordBytes= */ 600,
                /* startWriteIntervalSeconds= */ 0.01,
                /* progressWriteIntervalSeconds= */ 0.01,
                /* startObjectiveSeconds= */ Map.of());
    }

    double nowSeconds() {
        return context.nowSeconds();
    }

    long term() {
        return term;
    }

    /** Returns the controller that was elected; null in a run without elections. */
    String controllerName() {
        return controllerName;
    }

    boolean areRecordsLoaded() {
        return recordsLoaded;
    }

    /**
     * Whether it processes heartbeats: its process is not frozen, and it has not seen a newer term.
     */
    boolean acceptsHeartbeats() {
        return context.nowSeconds() >= frozenUntilSeconds && !schedulerState.isDeposed();
    }

    /** Returns the seconds from its election to its first decision; NaN before that. */
    double firstDecisionAfterSeconds() {
        return firstDecisionAfterSeconds;
    }

    boolean hasMachine(String name) {
        return schedulerState.machines().stream().anyMatch(machine -> machine.name().equals(name));
    }

    MachineStatePublisher machineStatePublisher() {
        return machineStatePublisher;
    }

    /** Pauses its process until the given time. It then continues in the state before the pause. */
    void freezeUntil(double atSeconds) {
        frozenUntilSeconds = atSeconds;
    }

    void close() {
        recordStore.close();
    }

    /** Returns how many entries of the log of acknowledged cancellations it has received. */
    int receivedCancellations() {
        return receivedCancellations;
    }

    private void requestStatus(Machine machine, long agentEpoch) {
        output.requestStatus(machine, agentEpoch);
    }

    boolean isLeading() {
        return leadership.isLeading(this);
    }

    private boolean isRefusedByStore() {
        return leadership.isRefusedByStore(this);
    }

    private boolean canReadStateStore() {
        return !dependencies.stateStore().store().faults().isUnavailable() && !isRefusedByStore();
    }

    // ---- time ----

    void loadRecords() {
        SimulatedStateStore stateStore = dependencies.stateStore();
        recordsLoaded = true;
        receivedCancellations = dependencies.cancellations().size();
        recordStore.loadRecords(
                schedulerState, stateStore.loadRecords(), (peer, startsAtSeconds) -> {});
        readRevision = stateStore.store().revision();
        failover.onRecordsLoaded(
                readRevision, leadership.newestTermRevision(), context.nowSeconds());
    }

    void tick() {
        // A leader whose lease and grants have expired must not act. Its earlier commands may still
        // arrive.
        if (!acceptsHeartbeats() || !isLeading()) {
            return;
        }
        if (!recordsLoaded) {
            if (canReadStateStore()) {
                loadRecords();
                leadership.onRecordsLoaded(this);
            }
            return;
        }
        double now = context.nowSeconds();
        failover.advance(schedulerState.machines(), now);
        schedulerState.tick(now);
        if (Double.isNaN(firstDecisionAfterSeconds) && schedulerState.isRecovered()) {
            firstDecisionAfterSeconds = now - startedAtSeconds;
            if (firstDecisionAfterSeconds < QUICK_FAILOVER_SECONDS) {
                context.counters().increment(Counter.QUICK_FAILOVERS);
            }
        }
        machineStatePublisher.publish(schedulerState.replicatedMachines());
    }

    /**
     * Reads changed jobs from the state store, and receives the cancellations that the controllers
     * acknowledged to users, the latter even while the state store is unavailable.
     */
    void readChanges() {
        if (context.nowSeconds() < frozenUntilSeconds || !isLeading() || !recordsLoaded) {
            return;
        }
        if (canReadStateStore() && context.random().nextInt(MEAN_STEPS_PER_READ) == 0) {
            dependencies
                    .stateStore()
                    .jobsChangedSince(readRevision)
                    .forEach(recordStore::applyJobRecord);
            readRevision = dependencies.stateStore().store().revision();
        }
        if (context.random().nextInt(MEAN_STEPS_PER_READ) == 0) {
            List<String> cancelled = dependencies.cancellations().from(receivedCancellations);
            cancelled.forEach(this::onAcknowledgedCancellation);
            receivedCancellations += cancelled.size();
        }
    }

    private void onAcknowledgedCancellation(String jobId) {
        JobRecord record =
                new JobRecord(
                        jobId,
                        /* spec= */ null,
                        JobStatus.CANCELLED,
                        /* timestampMillis= */ 0,
                        /* version= */ Long.MAX_VALUE);
        schedulerState.onJobRecord(record, 0, context.nowSeconds());
    }

    // ---- input ----

    /** Returns null if the heartbeat is refused. */
    PendingResponse onHeartbeat(Heartbeat heartbeat) {
        return schedulerState.onHeartbeat(
                heartbeat, /* receivingController= */ "", context.nowSeconds());
    }

    /** Processes a copy of a heartbeat, which did not arrive over the worker's own connection. */
    void onHeartbeatCopy(Heartbeat heartbeat) {
        schedulerState.onHeartbeat(
                heartbeat, /* receivingController= */ "copy", context.nowSeconds());
    }

    void onReplicatedMachine(ReplicatedMachine machine) {
        schedulerState.onReplicatedMachine(machine, context.nowSeconds());
    }

    void onReplicaApplied() {
        failover.onReplicaApplied(context.nowSeconds());
    }

    void onInstanceList(List<CloudInstance> instances) {
        schedulerState.onInstanceList(
                List.of(new InstanceListPage(/* afterName= */ "", /* lastPage= */ true, instances)),
                context.nowSeconds());
    }

    void onScaleOutResponse(ScaleOutRequest request, ScaleOutResult result) {
        schedulerState.onScaleOutResponse(request, result, context.nowSeconds());
    }

    void onScaleInConfirmed(List<String> names) {
        schedulerState.onScaleInConfirmed(names, context.nowSeconds());
    }

    void onCommandOutcome(String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        schedulerState.onCommandOutcome(machineName, outcome, heartbeat, context.nowSeconds());
    }

    void onStatusOutcome(String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        schedulerState.onStatusRequestOutcome(
                machineName, outcome, heartbeat, context.nowSeconds());
        failover.onStatusRequestOutcome(machineName, outcome, heartbeat);
    }

    void onProbeOutcome(String machineName, DeliveryOutcome outcome, Heartbeat heartbeat) {
        schedulerState.onProbeOutcome(machineName, outcome, heartbeat, context.nowSeconds());
    }

    @Override
    public String toString() {
        return "term="
                + term
                + " deposed="
                + schedulerState.isDeposed()
                + " machines="
                + schedulerState.machines().stream().map(Machine::toString).toList();
    }
}
