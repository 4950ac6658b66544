package io.kelphoist.scheduler;

import io.kelphoist.model.CachedImages;
import io.kelphoist.model.DelegatedRenewals;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.InstanceListPage;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.RecordedStart;
import io.kelphoist.model.ReplicatedMachine;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.model.TaskProgress;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.records.PageWriteOutcome;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.cluster.JobRegistry;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.cluster.MachineReplication;
import io.kelphoist.scheduler.heartbeats.HeartbeatHandler;
import io.kelphoist.scheduler.jobrecords.JobFactory;
import io.kelphoist.scheduler.jobrecords.JobReconciler;
import io.kelphoist.scheduler.reachability.DeliveryOutcome;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.Collection;
import java.util.List;

/**
 * The scheduler of one leader's term: jobs, machines and what may run where. This is the entry for
 * input events, which come with their time in seconds of the monotonic clock; what the scheduler
 * asks for goes to {@link SchedulerOutput}. There is no I/O and no clock here. Not thread-safe: all
 * methods are called on the event loop.
 *
 * <p>Holds no state itself: that is in {@link SchedulerParts}.
 */
public final class SchedulerState {
    private final PromotionGate promotionGate;
    private final SchedulerParts parts;
    private final MachineRegistry machines;

    /**
     * @param delegatedRenewals when others may have renewed a machine's lease
     * @param promotionGate what must hold before anything is decided
     * @param term the leader's term, which its fencing token holds
     * @param machineTypes the types that the cloud offers, as far as known
     */
    public SchedulerState(
            SchedulingPolicy policy,
            SchedulerOutput output,
            DelegatedRenewals delegatedRenewals,
            PromotionGate promotionGate,
            long term,
            Collection<MachineType> machineTypes) {
        this.promotionGate = promotionGate;
        this.parts =
                new SchedulerParts(
                        policy, output, delegatedRenewals, promotionGate, term, machineTypes);
        this.machines = parts.context.machines();
    }

    // ---- queries ----

    /** The jobs that this term works on; not to be changed. */
    public Collection<Job> jobs() {
        return parts.context.jobs().all();
    }

    /** The machines that this term knows; not to be changed. */
    public Collection<Machine> machines() {
        return machines.all();
    }

    /** The leader's term. */
    public long term() {
        return parts.context.term();
    }

    /** Whether a worker has seen a newer term, so that this leader must resign. */
    public boolean isDeposed() {
        return parts.senderResolver.isDeposed();
    }

    /** Whether decisions are allowed, as the first round of heartbeats after failover is over. */
    public boolean isRecovered() {
        return promotionGate.mayDecide(Double.NaN);
    }

    /** Whether commands to some machine were sent and have not ended. */
    public boolean hasCommandsInFlight() {
        for (Machine machine : machines.all()) {
            if (machine.contact().hasCommandsInFlight()) {
                return true;
            }
        }
        return false;
    }

    /** How many machines were considered for jobs so far: a measure of what decisions cost. */
    public long consideredMachineCount() {
        return parts.allocator.evaluationCount();
    }

    /** Names of the machines of a zone whose leases only the leader may renew. */
    public List<String> machinesExcludedFromDelegation(String zone) {
        return parts.leaseMonitor.machinesExcludedFromDelegation(
                parts.context.catalog().zones().find(zone));
    }

    /** The name of a zone by its index, see {@link Machine#zone}. */
    public String zoneName(int zone) {
        return parts.context.catalog().zones().name(zone);
    }

    /** The longest time that a job without any started task waits, in seconds; 0: none waits. */
    public double longestWaitSeconds() {
        return parts.queueWaitTracker.longestWaitSeconds();
    }

    /** How many jobs and tasks {@link #reconcileJobs} found lost so far. */
    public long repairCount() {
        return parts.jobReconciler.repairCount();
    }

    /** What a machine should have cached, as it is stored. */
    public CachedImages cachedImages(Machine machine) {
        return parts.imageCatalog.describeCached(machine.name(), machine.images().cached());
    }

    /** What is replicated to followers: the machines that are, or are about to be, up. */
    public List<ReplicatedMachine> replicatedMachines() {
        return MachineReplication.describe(machines.all(), parts.context.catalog().zones());
    }

    // ---- jobs ----

    /**
     * A job's record, as read or changed at the state service.
     *
     * @param ageSeconds how long ago the job was accepted; of a done job, how long ago that was
     *     stored
     */
    public void onJobRecord(JobRecord record, double ageSeconds, double nowSeconds) {
        parts.jobRecordHandler.onRecord(record, ageSeconds, nowSeconds);
    }

    /** The outcome of {@link SchedulerOutput#readJob} where no readable record exists. */
    public void onJobNotFound(String id, double nowSeconds) {
        parts.jobDependencies.onJobNotFound(id, nowSeconds);
    }

    /**
     * The outcome of {@link SchedulerOutput#storeDone} or {@link SchedulerOutput#storeCancelled},
     * unless it was stored for sure: it is requested again.
     */
    public void onJobEndNotStored(String id) {
        parts.jobRecordHandler.onEndNotStored(id);
    }

    /**
     * Compares the jobs with their records, see {@link JobReconciler#reconcile}. Returns the
     * records that are to be passed to {@link #onJobRecord} again.
     */
    public List<JobRecord> reconcileJobs(
            Collection<JobRecord> unfinished, double knownUntilSeconds, double nowSeconds) {
        return parts.jobReconciler.reconcile(unfinished, knownUntilSeconds, nowSeconds);
    }

    // ---- records of earlier terms, and their writes ----

    /** Done tasks that an earlier term stored; called after the jobs' parts.records. */
    public void onProgressLoaded(int page, TaskProgress stored) {
        parts.stateRecovery.onProgressLoaded(page, stored);
    }

    /** What an earlier term stored as cached on a machine. */
    public void onImagesLoaded(int page, CachedImages images) {
        parts.stateRecovery.onImagesLoaded(page, images);
    }

    /** A start that an earlier term stored; called after the jobs' parts.records. */
    public void onStartLoaded(int page, RecordedStart start, double nowSeconds) {
        parts.stateRecovery.onStartLoaded(page, start, nowSeconds);
    }

    /** A machine as an earlier leader replicated it. */
    public void onReplicatedMachine(ReplicatedMachine replicated, double nowSeconds) {
        parts.stateRecovery.onReplicatedMachine(replicated, nowSeconds);
    }

    /**
     * All records were read. Heartbeats that came meanwhile were answered without being applied, so
     * each machine may have been answered until now.
     */
    public void onRecordsLoaded(double nowSeconds) {
        for (Machine machine : machines.all()) {
            machine.contact().onPossiblyAnswered(nowSeconds);
        }
        parts.jobRecordHandler.onRecordsLoaded();
    }

    /** The outcome of {@link SchedulerOutput#storeProgress}. */
    public void onProgressStored(int page, PageWriteOutcome outcome) {
        parts.records.progress().onPageWritten(page, outcome);
    }

    /** The outcome of {@link SchedulerOutput#storeImages}. */
    public void onImagesStored(int page, PageWriteOutcome outcome) {
        parts.records.images().onPageWritten(page, outcome);
    }

    /** The outcome of {@link SchedulerOutput#storeStarts}. */
    public void onStartsStored(int page, PageWriteOutcome outcome) {
        parts.commandDispatcher.enqueueAll(parts.records.starts().onPageWritten(page, outcome));
    }

    // ---- workers ----

    /**
     * A heartbeat of a worker; returns the commands of the answer, or null, see {@link
     * HeartbeatHandler#onHeartbeat}.
     *
     * @param receivingController the controller that the worker sent it to; empty: this one
     */
    public List<WorkerCommand> onHeartbeat(
            Heartbeat heartbeat, String receivingController, double nowSeconds) {
        return parts.heartbeatHandler.onHeartbeat(heartbeat, receivingController, nowSeconds);
    }

    /**
     * How a request for a heartbeat ended. The address may belong to another machine by now, which
     * then responds for itself.
     *
     * @param heartbeat the response; null: there was none
     */
    public void onStatusRequestOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (heartbeat != null) {
            parts.deliveryOutcomeHandler.onResponse(heartbeat, nowSeconds);
        } else if (machine != null) {
            machine.reachability().onUndelivered(outcome, nowSeconds);
        }
    }

    /**
     * The outcome of {@link SchedulerOutput#probe}.
     *
     * @param heartbeat the response; null: there was none
     */
    public void onProbeOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        parts.deliveryOutcomeHandler.onProbeOutcome(machineName, outcome, heartbeat, nowSeconds);
    }

    /**
     * The outcome of {@link SchedulerOutput#sendCommands}.
     *
     * @param heartbeat the worker's, where its response holds one; else null
     */
    public void onCommandOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (machine == null) {
            return;
        }
        parts.commandDispatcher.onOutcome(machine, outcome, nowSeconds);
        if (heartbeat != null) {
            parts.deliveryOutcomeHandler.onResponse(heartbeat, nowSeconds);
        }
    }

    // ---- cloud ----

    /** The cloud offers these machine types, besides or in place of those known by these names. */
    public void addMachineTypes(Collection<MachineType> newTypes) {
        parts.context.catalog().addTypes(newTypes);
    }

    /** A whole list of the cloud's instances. */
    public void onInstanceList(List<InstanceListPage> pages, double nowSeconds) {
        pages.forEach(page -> parts.autoscaler.onInstanceListPage(page, nowSeconds));
        promotionGate.onInstancesListed(nowSeconds);
    }

    /** The outcome of {@link SchedulerOutput#scaleOut}. */
    public void onScaleOutResponse(
            ScaleOutRequest request, ScaleOutResult result, double nowSeconds) {
        parts.autoscaler.onScaleOutResponse(request, result, nowSeconds);
    }

    /** The cloud confirmed that these machines are terminated, with all that was on them. */
    public void onScaleInConfirmed(List<String> names, double nowSeconds) {
        parts.autoscaler.onScaleInConfirmed();
        for (String name : names) {
            parts.context.machineLifecycle().onTerminated(name, nowSeconds);
        }
    }

    /** Nobody knows whether the last scale-in took place: it is requested again. */
    public void onScaleInFailed(double nowSeconds) {
        parts.autoscaler.onScaleInFailed(nowSeconds);
    }

    // ---- time ----

    /** Does what is due, and decides. Called often, and after each input event. */
    public void tick(double nowSeconds) {
        parts.leaseMonitor.run(nowSeconds);
        parts.jobEndWriter.storeDueEnds();
        if (promotionGate.mayDecide(nowSeconds)) {
            parts.allocator.allocate(nowSeconds);
            parts.autoscaler.scaleToDemand(parts.allocator.unplacedJobs(), nowSeconds);
            parts.queueWaitTracker.run(parts.allocator.unplacedJobs(), nowSeconds);
        }
        parts.jobDependencies.sendDueRequests(nowSeconds);
        parts.records.writeDuePages(nowSeconds);
        parts.commandDispatcher.sendPending(nowSeconds);
    }

    // ---- for tests ----

    JobRegistry jobRegistry() {
        return parts.context.jobs();
    }

    MachineRegistry machineRegistry() {
        return machines;
    }

    JobFactory jobFactory() {
        return parts.jobFactory;
    }
}
