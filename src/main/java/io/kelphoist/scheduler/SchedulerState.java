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
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.scheduler.spi.PromotionGate;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scheduler of one leader's term: its jobs, its machines, and the task attempts that may run on
 * each machine. This class is the entry point for input events. Their times ({@code nowSeconds})
 * are in seconds of the monotonic clock; the scheduler's requests go to {@link SchedulerOutput}.
 * The class uses no I/O and no clock. Not thread-safe: all methods are called on the event loop.
 *
 * <p>Its state is in the components that {@link SchedulerComponents} connects.
 */
public final class SchedulerState {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulerState.class);

    private final PromotionGate promotionGate;
    private final SchedulerComponents components;
    private final MachineRegistry machines;

    /**
     * Creates the scheduler of a term, without jobs and machines.
     *
     * @param delegatedRenewals when delegates may have renewed a machine's lease
     * @param promotionGate the conditions for scheduling decisions and for requesting machines
     * @param term the leader's term, which is its fencing token
     * @param machineTypes the machine types of the cloud that are known at this time
     */
    public SchedulerState(
            SchedulingPolicy policy,
            SchedulerOutput output,
            DelegatedRenewals delegatedRenewals,
            PromotionGate promotionGate,
            long term,
            Collection<MachineType> machineTypes) {
        this.promotionGate = promotionGate;
        this.components =
                new SchedulerComponents(
                        policy, output, delegatedRenewals, promotionGate, term, machineTypes);
        this.machines = components.context.machines();
    }

    // ---- queries ----

    /** The jobs registered with the scheduler; callers must not modify the collection. */
    public Collection<Job> jobs() {
        return components.context.jobs().all();
    }

    /** The machines registered with the scheduler; callers must not modify the collection. */
    public Collection<Machine> machines() {
        return machines.all();
    }

    /** The leader's term. */
    public long term() {
        return components.context.term();
    }

    /** Whether a worker has seen a newer term, so that this leader must resign. */
    public boolean isDeposed() {
        return components.senderResolver.isDeposed();
    }

    /**
     * Whether scheduling decisions are allowed, see {@link PromotionGate#maySchedule}. Once they
     * are, they remain allowed for the rest of the term.
     */
    public boolean isRecovered() {
        return promotionGate.maySchedule(/* nowSeconds= */ Double.NaN);
    }

    /** Whether direct commands to any machine are in flight. */
    public boolean hasCommandsInFlight() {
        for (Machine machine : machines.all()) {
            if (machine.contact().hasCommandsInFlight()) {
                return true;
            }
        }
        return false;
    }

    /**
     * How many evaluations of a machine for a job the allocator has made in this term: a measure of
     * the cost of decisions.
     */
    public long consideredMachineCount() {
        return components.allocator.evaluationCount();
    }

    /** Names of the machines of a zone whose leases only the leader, not a delegate, may renew. */
    public List<String> machinesExcludedFromDelegation(String zone) {
        return components.leaseMonitor.machinesExcludedFromDelegation(
                components.context.catalog().zones().find(zone));
    }

    /** The name of a zone by its index, see {@link Machine#zone}. */
    public String zoneName(int zone) {
        return components.context.catalog().zones().name(zone);
    }

    /**
     * The longest time since an active job without any started task became ready, in seconds; 0 if
     * there is no such job. {@link QueueWaitTracker} updates it at an interval.
     */
    public double longestWaitSeconds() {
        return components.queueWaitTracker.longestWaitSeconds();
    }

    /** How many lost jobs and lost tasks {@link #reconcileJobs} has found and repaired so far. */
    public long repairCount() {
        return components.jobReconciler.repairCount();
    }

    /** The images that a machine should have cached, in the form of their stored record. */
    public CachedImages cachedImages(Machine machine) {
        return components.imageCatalog.describeCached(machine.name(), machine.images().cached());
    }

    /** The machines that are up, draining, joining or booting, as replicated to followers. */
    public List<ReplicatedMachine> replicatedMachines() {
        return MachineReplication.describe(machines.all(), components.context.catalog().zones());
    }

    // ---- jobs ----

    /**
     * Applies a job's record, as read from the state store or as changed there.
     *
     * @param ageSeconds seconds since the job was accepted; for a done job, since its end was
     *     stored
     */
    public void onJobRecord(JobRecord record, double ageSeconds, double nowSeconds) {
        components.jobRecordHandler.onRecord(record, ageSeconds, nowSeconds);
    }

    /** Handles a {@link SchedulerOutput#readJob} request that found no readable record. */
    public void onJobNotFound(String jobId, double nowSeconds) {
        components.jobDependencies.onJobNotFound(jobId, nowSeconds);
    }

    /**
     * Handles a failure or unknown outcome of {@link SchedulerOutput#storeDone} or {@link
     * SchedulerOutput#storeCancelled}: the write is requested again.
     */
    public void onJobEndNotStored(String jobId) {
        components.jobRecordHandler.onEndNotStored(jobId);
    }

    /**
     * Compares the jobs with their records, see {@link JobReconciler#reconcile}. Returns the
     * records that are to be passed to {@link #onJobRecord} again.
     */
    public List<JobRecord> reconcileJobs(
            Collection<JobRecord> unfinished, double changesReadUntilSeconds, double nowSeconds) {
        return components.jobReconciler.reconcile(unfinished, changesReadUntilSeconds, nowSeconds);
    }

    // ---- records of earlier terms, and outcomes of writes ----

    /**
     * Restores done tasks that an earlier term stored; called after the job records are read. Done
     * tasks of jobs that are not registered are ignored.
     */
    public void onProgressLoaded(int pageNumber, TaskProgress stored) {
        components.stateRecovery.onProgressLoaded(pageNumber, stored);
    }

    /**
     * Restores the images that an earlier term stored as cached on a machine. May be called at any
     * time, also after {@link #onRecordsLoaded}.
     */
    public void onImagesLoaded(int pageNumber, CachedImages images) {
        components.stateRecovery.onImagesLoaded(pageNumber, images);
    }

    /**
     * Restores a start that an earlier term stored; called after the job records are read. {@code
     * StateRecovery} states which starts are ignored.
     */
    public void onStartLoaded(int pageNumber, RecordedStart start, double nowSeconds) {
        components.stateRecovery.onStartLoaded(pageNumber, start, nowSeconds);
    }

    /** Restores a machine from the state that an earlier leader replicated. */
    public void onReplicatedMachine(ReplicatedMachine replicated, double nowSeconds) {
        components.stateRecovery.onReplicatedMachine(replicated, nowSeconds);
    }

    /**
     * Handles the end of loading: all records that the first decision needs have been read.
     * Heartbeats that arrived during the load were acknowledged without being applied, so the lease
     * of each machine may have been renewed at any time until now.
     */
    public void onRecordsLoaded(double nowSeconds) {
        for (Machine machine : machines.all()) {
            machine.contact().onResponsePossiblySent(nowSeconds);
        }
        components.jobRecordHandler.onRecordsLoaded();
        JobSummary.of(jobs()).log(LOG, term());
    }

    /** Handles the outcome of {@link SchedulerOutput#storeProgress}. */
    public void onProgressStored(int pageNumber, PageWriteOutcome outcome) {
        components.records.progress().onPageWritten(pageNumber, outcome);
    }

    /** Handles the outcome of {@link SchedulerOutput#storeImages}. */
    public void onImagesStored(int pageNumber, PageWriteOutcome outcome) {
        components.records.images().onPageWritten(pageNumber, outcome);
    }

    /** Handles the outcome of {@link SchedulerOutput#storeStarts}. */
    public void onStartsStored(int pageNumber, PageWriteOutcome outcome) {
        components.records.starts().onPageWritten(pageNumber, outcome);
    }

    // ---- workers ----

    /**
     * Handles a heartbeat from a worker; returns null if the heartbeat must be refused, see {@link
     * HeartbeatHandler#onHeartbeat}.
     *
     * @param receivingController the controller that the worker sent the heartbeat to; empty for
     *     this controller
     */
    public PendingResponse onHeartbeat(
            Heartbeat heartbeat, String receivingController, double nowSeconds) {
        return components.heartbeatHandler.onHeartbeat(heartbeat, receivingController, nowSeconds);
    }

    /**
     * Handles the outcome of a status request. The machine's address may have been reassigned to
     * another machine, which then responds with its own heartbeat.
     *
     * @param heartbeat the heartbeat in the response; null if there was no response
     */
    public void onStatusRequestOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (heartbeat != null) {
            components.deliveryOutcomeHandler.onResponse(heartbeat, nowSeconds);
        } else if (machine != null) {
            machine.reachability().onUndelivered(outcome, nowSeconds);
        }
    }

    /**
     * Handles the outcome of {@link SchedulerOutput#probe}.
     *
     * @param heartbeat the heartbeat in the response; null if there was no response
     */
    public void onProbeOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        components.deliveryOutcomeHandler.onProbeOutcome(
                machineName, outcome, heartbeat, nowSeconds);
    }

    /**
     * Handles the outcome of {@link SchedulerOutput#sendCommands}. No effect if the machine is not
     * registered any more.
     *
     * @param heartbeat the heartbeat in the worker's response; null if there was none
     */
    public void onCommandOutcome(
            String machineName, DeliveryOutcome outcome, Heartbeat heartbeat, double nowSeconds) {
        Machine machine = machines.get(machineName);
        if (machine == null) {
            return;
        }
        components.commandDispatcher.onOutcome(machine, outcome, nowSeconds);
        if (heartbeat != null) {
            components.deliveryOutcomeHandler.onResponse(heartbeat, nowSeconds);
        }
    }

    // ---- cloud ----

    /** Adds machine types that the cloud offers; each replaces the one of the same name, if any. */
    public void addMachineTypes(Collection<MachineType> newTypes) {
        components.context.catalog().addTypes(newTypes);
    }

    /** Handles a complete instance list of the cloud, consisting of all its pages. */
    public void onInstanceList(List<InstanceListPage> pages, double nowSeconds) {
        pages.forEach(page -> components.autoscaler.onInstanceListPage(page, nowSeconds));
        promotionGate.onInstancesListed(nowSeconds);
    }

    /** Handles the outcome of {@link SchedulerOutput#scaleOut}. */
    public void onScaleOutResponse(
            ScaleOutRequest request, ScaleOutResult result, double nowSeconds) {
        components.autoscaler.onScaleOutResponse(request, result, nowSeconds);
    }

    /** Handles the cloud's confirmation that machines are terminated, with all tasks on them. */
    public void onScaleInConfirmed(List<String> machineNames, double nowSeconds) {
        components.autoscaler.onScaleInConfirmed();
        for (String machineName : machineNames) {
            components.context.machineLifecycle().onTerminated(machineName, nowSeconds);
        }
    }

    /** Handles an unknown outcome of the last scale-in request: it is requested again. */
    public void onScaleInFailed(double nowSeconds) {
        components.autoscaler.onScaleInFailed(nowSeconds);
    }

    // ---- time ----

    /**
     * Does the work that is due: checks leases, makes scheduling decisions if they are allowed, and
     * requests writes, reads and commands. Called at short intervals and soon after input events.
     */
    public void tick(double nowSeconds) {
        components.leaseMonitor.run(nowSeconds);
        components.jobEndWriter.storeDueEnds(nowSeconds);
        if (promotionGate.maySchedule(nowSeconds)) {
            components.allocator.allocate(nowSeconds);
            components.autoscaler.scaleToDemand(components.allocator.unplacedJobs(), nowSeconds);
            components.queueWaitTracker.run(components.allocator.unplacedJobs(), nowSeconds);
        }
        components.jobDependencies.sendDueRequests(nowSeconds);
        components.records.writeDuePages(nowSeconds);
        components.commandDispatcher.sendPending(nowSeconds);
    }

    // ---- for tests ----

    JobRegistry jobRegistry() {
        return components.context.jobs();
    }

    MachineRegistry machineRegistry() {
        return machines;
    }

    JobFactory jobFactory() {
        return components.jobFactory;
    }
}
