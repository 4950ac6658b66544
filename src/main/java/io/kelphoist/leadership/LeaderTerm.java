package io.kelphoist.leadership;

import io.kelphoist.config.PlatformSettings;
import io.kelphoist.election.Election;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.model.WorkerCommand;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term that this controller leads, from loading the replicated records to handing over. Owns
 * the term's {@link SchedulerState}, {@link Failover}, {@link TermRecordStore} and {@link
 * TermOutput}; {@link LeaderTermFactory} makes them. Runs on the event loop.
 */
public final class LeaderTerm {
    /**
     * Which term this is.
     *
     * @param number the fencing token of everything that the term sends
     * @param version revision at which the term was stored
     * @param startedAtSeconds on the event loop's clock
     */
    record Identity(long number, long version, double startedAtSeconds) {}

    /** The parts that belong to one term alone. */
    record Parts(
            Failover failover,
            SchedulerState schedulerState,
            TermRecordStore store,
            TermOutput output) {}

    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final double RECONCILE_INTERVAL_SECONDS = 10;

    /** Heartbeat intervals without any direct heartbeat after which a leader counts as isolated. */
    private static final double ISOLATION_INTERVALS = 2.5;

    /** With fewer machines their silence says nothing about this controller. */
    private static final int MIN_MACHINES_FOR_ISOLATION = 3;

    private static final double MILLIS_PER_SECOND = 1000;

    private final Identity identity;
    private final Election election;
    private final LeaderContext context;
    private final ReplicationHandlers replication;
    private final CloudGateway cloudGateway;
    private final Failover failover;
    private final SchedulerState schedulerState;
    private final TermRecordStore store;
    private final TermOutput output;
    private double nextReconcileAtSeconds;
    private boolean recordsLoaded;
    private boolean ended;

    LeaderTerm(
            Identity identity,
            Election election,
            LeaderContext context,
            ReplicationHandlers replication,
            CloudGateway cloudGateway,
            Parts parts) {
        this.identity = identity;
        this.election = election;
        this.context = context;
        this.replication = replication;
        this.cloudGateway = cloudGateway;
        this.failover = parts.failover;
        this.schedulerState = parts.schedulerState;
        this.store = parts.store;
        this.output = parts.output;
    }

    /** The state of the scheduler, for the whole term. */
    public SchedulerState schedulerState() {
        return schedulerState;
    }

    /** Where the term keeps its records. */
    public TermRecordStore store() {
        return store;
    }

    /** Whether the records are loaded: only then does the scheduler know what there is. */
    public boolean isLoaded() {
        return recordsLoaded;
    }

    // ---- promotion ----

    /**
     * Verifies that the replicated records are current, or reads them again, and then loads them
     * into the scheduler. Called once, when the term begins.
     */
    void start() {
        replication.records().verifyCurrent(this::onRecordsVerified);
    }

    private void onRecordsVerified(RecordReplica replica) {
        if (ended) {
            return;
        }
        if (!failover.onRecordsLoaded(
                replica.oldestRevision(), identity.version, context.nowSeconds())) {
            replication.records().startFollowing();
            start();
            return;
        }
        store.loadRecords(schedulerState, replica, this::onDelegationLoaded);
        replication.machineStates().seedScheduler(schedulerState);
        replication.records().startLeading(store);
        recordsLoaded = true;
        replication.cancellations().onRecordsLoaded(identity.number, this::onJobCancelled);
        store.storeMachineTypes(cloudGateway.machineTypes());
        LOG.info(
                "records loaded: term={} machines={} jobs={} durationMillis={}",
                identity.number,
                schedulerState.machines().size(),
                schedulerState.jobs().size(),
                Math.round((context.nowSeconds() - identity.startedAtSeconds) * MILLIS_PER_SECOND));
        context.requestTick().run();
    }

    private void onDelegationLoaded(String peer, double startsAtMillis) {
        replication
                .leaseDelegation()
                .onRecordLoaded(
                        peer,
                        startsAtMillis,
                        (double) System.currentTimeMillis(),
                        context.nowSeconds());
    }

    /**
     * A controller has told a user that this job is cancelled: its cancellation is on record, even
     * if that record cannot be read here at the moment.
     */
    private void onJobCancelled(String jobId) {
        JobRecord cancelled = new JobRecord(jobId, null, JobStatus.CANCELLED, 0, Long.MAX_VALUE);
        schedulerState.onJobRecord(cancelled, 0, context.nowSeconds());
        context.requestTick().run();
    }

    // ---- leading ----

    /** Advances the failover and, once it is complete, decides what to schedule. */
    public void decide(double nowSeconds) {
        failover.advance(schedulerState.machines(), nowSeconds);
        schedulerState.tick(nowSeconds);
        if (nowSeconds >= nextReconcileAtSeconds && failover.maySchedule(nowSeconds)) {
            nextReconcileAtSeconds = nowSeconds + RECONCILE_INTERVAL_SECONDS;
            RecordReplication records = replication.records();
            schedulerState
                    .reconcileJobs(
                            records.replica().unfinishedJobs(),
                            records.jobsKnownUntilSeconds(),
                            nowSeconds)
                    .forEach(store::applyJobRecord);
        }
    }

    /**
     * Handles a heartbeat.
     *
     * @param relay address of the controller that relayed it; empty if it came directly
     * @return the response; empty if the heartbeat must not be accepted
     */
    Optional<HeartbeatResponse> respond(Heartbeat heartbeat, String relay) {
        if (!recordsLoaded) {
            return renewLeaseOnly(heartbeat, identity.number, replication.records().replica());
        }
        double receivedAtSeconds = context.nowSeconds();
        // Null if the scheduler does not accept the heartbeat.
        List<WorkerCommand> commands =
                schedulerState.onHeartbeat(heartbeat, relay, receivedAtSeconds);
        context.counters().onHeartbeatHandled(context.nowSeconds() - receivedAtSeconds);
        context.requestTick().run();
        return commands == null
                ? Optional.empty()
                : Optional.of(new HeartbeatResponse(identity.number, commands));
    }

    /**
     * Responds to a heartbeat before the records are loaded: renews the worker's lease and leaves
     * the rest of the heartbeat to a later one. A worker that runs a job known to be cancelled gets
     * no renewal, since nothing tells it to stop yet and loading may take longer than a cancelled
     * task may run.
     *
     * @return the response; empty if the lease must not be renewed
     */
    static Optional<HeartbeatResponse> renewLeaseOnly(
            Heartbeat heartbeat, long term, RecordReplica replica) {
        boolean runsCancelledJob =
                heartbeat.tasks().stream().anyMatch(task -> replica.isCancelled(task.jobId()));
        return heartbeat.fencingToken() > term || runsCancelledJob
                ? Optional.empty()
                : Optional.of(new HeartbeatResponse(term, List.of()));
    }

    /**
     * Hands the leadership over if no worker reaches this controller while there are machines whose
     * workers should.
     */
    public void resignIfIsolated(double nowSeconds) {
        PlatformSettings settings = context.settings();
        double quietSeconds = ISOLATION_INTERVALS * settings.workers().heartbeatIntervalSeconds();
        double ageSeconds = nowSeconds - identity.startedAtSeconds;
        if (ageSeconds < quietSeconds + settings.workers().leaseSeconds()
                || settings.peers().isEmpty()) {
            return;
        }
        double lastHeartbeatAtSeconds = context.counters().lastDirectHeartbeatAtSeconds();
        if (reportingMachineCount() >= MIN_MACHINES_FOR_ISOLATION
                && nowSeconds - lastHeartbeatAtSeconds > quietSeconds) {
            election.resign("no worker reaches this controller", nowSeconds);
        }
    }

    private long reportingMachineCount() {
        return schedulerState.machines().stream()
                .filter(
                        machine ->
                                machine.state() == Machine.State.UP
                                        || machine.state() == Machine.State.DRAINING)
                .count();
    }

    /** Ends the term: nothing more is sent, stored or reported, and replication resumes. */
    void end() {
        ended = true;
        output.close();
        replication.machineStates().onTermEnded(schedulerState);
        replication.records().startFollowing();
        replication.leaseDelegation().onTermEnded();
        replication.cancellations().onTermEnded();
        cloudGateway.onTermEnded();
    }
}
