package io.kelphoist.leadership;

import io.kelphoist.config.PlatformSettings;
import io.kelphoist.election.Election;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.replication.RecordReplica;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.spi.PendingResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term that this controller leads, from loading the replicated records until its end. Owns the
 * term's {@link SchedulerState}, {@link Failover}, {@link TermRecordStore} and {@link TermOutput},
 * which {@link LeaderTermFactory} creates. Runs on the event loop.
 */
public final class LeaderTerm {
    /**
     * Identifies the term.
     *
     * @param number number of the term, the fencing token of everything that it sends
     * @param version version of the term key: the revision at which the term was stored
     * @param startedAtSeconds when the term started here, on the event loop's clock
     */
    record Identity(long number, long version, double startedAtSeconds) {}

    /** The components that are created for each term. */
    record Components(
            Failover failover,
            SchedulerState schedulerState,
            TermRecordStore store,
            TermOutput output) {}

    private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);
    private static final double RECONCILE_INTERVAL_SECONDS = 10;

    /**
     * A leader that receives no heartbeat directly from any worker for this many heartbeat
     * intervals is considered isolated from the workers.
     */
    private static final double ISOLATION_HEARTBEAT_INTERVALS = 2.5;

    /**
     * With fewer machines, missing heartbeats do not indicate that this controller is isolated: the
     * machines themselves may have failed.
     */
    private static final int MIN_REPORTING_MACHINES_FOR_ISOLATION = 3;

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
    private final HeldResponses heldResponses;
    private double nextReconcileAtSeconds;
    private boolean recordsLoaded;
    private boolean ended;

    LeaderTerm(
            Identity identity,
            Election election,
            LeaderContext context,
            ReplicationHandlers replication,
            CloudGateway cloudGateway,
            Components components) {
        this.identity = identity;
        this.election = election;
        this.context = context;
        this.replication = replication;
        this.cloudGateway = cloudGateway;
        this.failover = components.failover;
        this.schedulerState = components.schedulerState;
        this.store = components.store;
        this.output = components.output;
        this.heldResponses =
                new HeldResponses(
                        identity.number,
                        context.eventLoop(),
                        () -> mayRespond(election, context),
                        context.counters());
    }

    /** The scheduler of this term. */
    public SchedulerState schedulerState() {
        return schedulerState;
    }

    /** Loads and writes records in the state store for this term. */
    public TermRecordStore store() {
        return store;
    }

    /**
     * Whether the records are loaded. Until then the scheduler lacks jobs, started tasks and
     * machines.
     */
    public boolean isLoaded() {
        return recordsLoaded;
    }

    /** Whether this controller may renew leases and start tasks at this moment. */
    static boolean mayRespond(Election election, LeaderContext context) {
        return election.isLeader(context.nowSeconds())
                && context.renewalGate().checkRenewalAllowed();
    }

    /** How many heartbeats wait for their response, which is held for a start. */
    public int heldResponseCount() {
        return heldResponses.size();
    }

    // ---- promotion ----

    /**
     * Brings the replicated records up to date and then loads them into the scheduler. Called when
     * the term starts, and again if the replicated records are even then older than the term.
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
        replication.cancellations().onRecordsLoaded(identity.number, this::onCancellationConfirmed);
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
     * Applies a confirmed cancellation: a controller has acknowledged it to a user, or is about to,
     * so it is stored, even if its record cannot be read from here at the moment. The version of
     * that record is not known here; the highest possible one makes the scheduler accept the
     * cancellation as newer than any record of the job that it has.
     */
    private void onCancellationConfirmed(String jobId) {
        JobRecord cancelled =
                new JobRecord(
                        jobId,
                        /* spec= */ null,
                        JobStatus.CANCELLED,
                        /* timestampMillis= */ 0,
                        /* version= */ Long.MAX_VALUE);
        schedulerState.onJobRecord(cancelled, /* ageSeconds= */ 0, context.nowSeconds());
        context.requestTick().run();
    }

    // ---- leading ----

    /**
     * Advances the failover and runs the scheduler, which neither places tasks nor scales the
     * cluster until the failover is complete. From then on also reconciles the scheduler's jobs
     * with their records at an interval.
     */
    public void decide(double nowSeconds) {
        failover.advance(schedulerState.machines(), nowSeconds);
        schedulerState.tick(nowSeconds);
        if (nowSeconds >= nextReconcileAtSeconds && failover.maySchedule(nowSeconds)) {
            nextReconcileAtSeconds = nowSeconds + RECONCILE_INTERVAL_SECONDS;
            RecordReplication records = replication.records();
            schedulerState
                    .reconcileJobs(
                            records.replica().unfinishedJobs(),
                            records.jobsCurrentAsOfSeconds(),
                            nowSeconds)
                    .forEach(store::applyJobRecord);
        }
    }

    /**
     * Responds to a heartbeat, now or when the response has been held for starts, see {@link
     * HeldResponses}.
     *
     * @param relayAddress address of the controller that relayed the heartbeat; empty if it came
     *     directly from the worker
     * @param hold for how long the response may be held
     * @param onResponse receives the response; empty if the heartbeat must not be accepted
     */
    void respondToHeartbeat(
            Heartbeat heartbeat,
            String relayAddress,
            PendingResponse.Hold hold,
            Consumer<Optional<HeartbeatResponse>> onResponse) {
        if (!recordsLoaded) {
            onResponse.accept(
                    renewLeaseOnly(heartbeat, identity.number, replication.records().replica()));
            return;
        }
        double receivedAtSeconds = context.nowSeconds();
        // Null if the scheduler does not accept the heartbeat.
        PendingResponse accepted =
                schedulerState.onHeartbeat(heartbeat, relayAddress, receivedAtSeconds);
        context.counters().onHeartbeatHandled(context.nowSeconds() - receivedAtSeconds);
        context.requestTick().run();
        if (accepted == null) {
            onResponse.accept(Optional.empty());
        } else {
            heldResponses.respond(accepted, hold, onResponse);
        }
    }

    /**
     * Responds to a heartbeat before the records are loaded: renews the worker's lease without
     * applying the heartbeat; a later heartbeat reports the worker's state again. A worker that
     * runs a task of a job that is cancelled according to the replica gets no renewal, because no
     * command can stop the task yet, and loading may take longer than a cancelled task may run. A
     * worker that has seen a newer term gets none either.
     *
     * @param term the term that is led here
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
     * Hands over the leadership if this controller is isolated from the workers: for several
     * heartbeat intervals no heartbeat has arrived directly from any worker, although enough
     * machines are up or draining. Does nothing if there are no other controllers, or until those
     * intervals and the duration of a worker lease have passed since the start of the term.
     */
    public void resignIfIsolated(double nowSeconds) {
        PlatformSettings settings = context.settings();
        double maxSilenceSeconds =
                ISOLATION_HEARTBEAT_INTERVALS * settings.workers().heartbeatIntervalSeconds();
        double ageSeconds = nowSeconds - identity.startedAtSeconds;
        if (ageSeconds < maxSilenceSeconds + settings.workers().leaseSeconds()
                || settings.peers().isEmpty()) {
            return;
        }
        double lastHeartbeatAtSeconds = context.counters().lastDirectHeartbeatAtSeconds();
        if (reportingMachineCount() >= MIN_REPORTING_MACHINES_FOR_ISOLATION
                && nowSeconds - lastHeartbeatAtSeconds > maxSilenceSeconds) {
            election.resign("no direct heartbeat from any worker", nowSeconds);
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

    /**
     * Ends the term: its scheduler makes no more requests and receives no more outcomes, and the
     * replication handlers resume the role of a follower. Writes that are queued may still be sent;
     * they fail once a newer term is stored.
     */
    void end() {
        ended = true;
        heldResponses.close();
        output.close();
        replication.machineStates().onTermEnded(schedulerState);
        replication.records().startFollowing();
        replication.leaseDelegation().onTermEnded();
        replication.cancellations().onTermEnded();
        cloudGateway.onTermEnded();
    }
}
