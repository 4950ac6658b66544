package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.StateStoreSimulation;

/**
 * Leaders one after the other over a handful of workers, in virtual time, with faults of the
 * network, the machines, the state store and the controllers.
 *
 * <ul>
 *   <li>Requests of earlier leaders arrive late; copies of heartbeats arrive up to three leases
 *       late, or first of all at the next leader; connectivity may be lost in one direction only.
 *   <li>Workers restart and count their agent epochs from 1 again; the cloud terminates machines
 *       with a notice or without, and its responses to scale-out requests may be lost.
 *   <li>The state store is down, refuses the leader alone, carries transactions out late, or loses
 *       their responses.
 *   <li>Users submit, cancel and query jobs at all front ends, also just as the leader changes.
 * </ul>
 *
 * <p>{@link SafetyChecker} checks every start, record and response against the rules. At the end of
 * a run, with all faults over, as much runs as the limit allows.
 */
final class FailoverSimulation {
    /** Time in which the system settles after the last fault, before and after a last listing. */
    private static final double SETTLE_SECONDS = 45;

    private final SimulationContext context;
    private final SimulatedJobs jobs = new SimulatedJobs();
    private final SimulatedTasks tasks = new SimulatedTasks();
    private final AcknowledgedCancellationLog cancellations = new AcknowledgedCancellationLog();
    private final QueueWaitRecorder queueWaits = new QueueWaitRecorder();
    private final SafetyChecker checker;
    private final StateStoreSimulation store;
    private final SimulatedFleet fleet;
    private final SimulatedNetwork network;
    private final Leadership leadership;
    private final HeartbeatChannel heartbeats;
    private final ReplicaHandover replicaHandover;
    private final SimulatedUsers users;

    /** The leader changes when the test says so. */
    FailoverSimulation(long seed) {
        this(seed, 2, SimulationSize.USUAL, false);
    }

    /**
     * @param maxStatusRequests status requests that a leader may have open at a time
     * @param elected whether three controllers elect the leader; else the test changes it
     */
    FailoverSimulation(long seed, int maxStatusRequests, SimulationSize size, boolean elected) {
        context = new SimulationContext(seed, size);
        checker = new SafetyChecker(context, jobs, tasks, cancellations);
        store = new StateStoreSimulation(context.random().nextInt(), context.nowSeconds());
        SimulatedStateStore stateStore = new SimulatedStateStore(context, jobs, checker, store);
        store.setChangeListener(stateStore::onStored);
        store.limitWriteRate(size.writesPerSecond());
        fleet = new SimulatedFleet(context, tasks, checker, queueWaits, store);
        network = new SimulatedNetwork(context, checker);
        SimulatedLeader.Dependencies dependencies =
                new SimulatedLeader.Dependencies(
                        context,
                        stateStore,
                        network,
                        fleet,
                        cancellations,
                        checker,
                        createTeam(size),
                        maxStatusRequests);
        leadership =
                elected
                        ? new ElectedLeadership(dependencies, seed)
                        : new ScriptedLeadership(dependencies);
        heartbeats = new HeartbeatChannel(context, fleet, leadership, cancellations);
        replicaHandover = new ReplicaHandover(context, fleet);
        leadership.setOnLoaded(this::onLeaderLoaded);
        users = new SimulatedUsers(dependencies, jobs, queueWaits, leadership);
        for (int i = 0; size.withInitialJobs() && i < SimulatedTasks.INITIAL_JOBS; i++) {
            stateStore.putJob(jobs.createInitialJob(i));
        }
        if (!elected) {
            failOver(Leadership.Handover.NOTHING);
        }
    }

    private static Team createTeam(SimulationSize size) {
        return new Team(
                "t",
                new Resources(1e6, size.taskLimit() / 2.0, 1e6),
                new Resources(1e6, size.taskLimit(), 1e6));
    }

    private void onLeaderLoaded(SimulatedLeader leader) {
        replicaHandover.handOverTo(leader, leadership.handover());
        heartbeats.deliverKept(leader);
    }

    // ---- time ----

    /**
     * Time passes.
     *
     * @param lateOfTen of ten requests to workers, how many are held back for another step
     */
    void pass(double seconds, int lateOfTen) {
        for (double end = context.nowSeconds() + seconds; context.nowSeconds() < end; ) {
            step(lateOfTen);
        }
    }

    private void step(int lateOfTen) {
        context.advance();
        leadership.advance(SimulationContext.STEP_SECONDS);
        fleet.advance();
        network.deliver(lateOfTen);
        store.advance(context.nowSeconds() - store.nowSeconds());
        network.reportOutcomes();
        heartbeats.deliverCopies();
        heartbeats.sendDueHeartbeats();
        leadership.leaders().forEach(SimulatedLeader::learn);
        leadership.leaders().forEach(SimulatedLeader::tick);
        checker.checkCancelledTasksStopped(fleet.workers());
    }

    /**
     * All faults end: after a while as much runs as the limit and the work that is left allow,
     * every machine is known to the leader and every job to every front end.
     */
    void settle() {
        fleet.endFaults();
        freezeLeader(0);
        setLateTransactions(0);
        setLostResponses(0);
        setKeepHeartbeats(false);
        setStateStoreDown(false);
        setLeaderRefused(false);
        leadership.endFaults();
        context.endFaults();
        pass(SETTLE_SECONDS, 0);
        listInstances();
        pass(SETTLE_SECONDS, 0);
        SimulatedLeader leader =
                leadership
                        .actingLeader()
                        .orElseThrow(
                                () -> new AssertionError("no leader at the end: " + leadership));
        checker.checkMachinesKnown(fleet.workers(), leader);
        users.checkAllJobsKnown();
        checker.checkCapacityIsUsed(fleet.workers(), leadership.newestLeader());
    }

    // ---- leaders ----

    void failOver(Leadership.Handover handover) {
        leadership.failOver(handover);
    }

    void freezeLeader(double seconds) {
        leadership.freezeLeader(seconds);
    }

    void setLinkBlocked(int fromController, int toController, boolean blocked) {
        leadership.setLinkBlocked(fromController, toController, blocked);
    }

    /** The leader sends its machines to a follower, in an update that may be lost. */
    void replicateMachines() {
        leadership.actingLeader().ifPresent(replicaHandover::replicateFrom);
    }

    /** The leader receives the cloud's list of machines. */
    void listInstances() {
        leadership
                .actingLeader()
                .filter(SimulatedLeader::isLoaded)
                .ifPresent(leader -> leader.onInstanceList(fleet.instances()));
    }

    // ---- the state store ----

    /** Of ten transactions, how many get no response and are carried out late. */
    void setLateTransactions(int ofTen) {
        store.faults().setLateWritesPerTen(ofTen);
    }

    /** Of ten transactions, how many are carried out and get no response. */
    void setLostResponses(int ofTen) {
        store.faults().setLostResponsesPerTen(ofTen);
        leadership.setLostResponses(ofTen);
    }

    void setStateStoreDown(boolean down) {
        store.faults().setDown(down);
        leadership.setStateStoreDown(down);
    }

    /** The state store refuses the leader alone. */
    void setLeaderRefused(boolean refused) {
        leadership.setLeaderRefused(refused);
    }

    // ---- workers ----

    void setPartitioned(int worker, boolean partitioned) {
        fleet.worker(worker).setPartitioned(partitioned);
    }

    void setInboundBlocked(int worker, boolean blocked) {
        fleet.worker(worker).setInboundBlocked(blocked);
    }

    void setOutboundBlocked(int worker, boolean blocked) {
        fleet.worker(worker).setOutboundBlocked(blocked);
    }

    void restartWorker(int worker) {
        fleet.worker(worker).restart();
        network.dropConnectionsTo(fleet.worker(worker));
    }

    void finishTask(int worker) {
        fleet.finishTaskOn(fleet.worker(worker));
    }

    /** The cloud will terminate a machine; 0: without a notice. */
    void terminateMachine(int worker, double noticeSeconds) {
        fleet.worker(worker).terminateAt(context.nowSeconds() + noticeSeconds);
    }

    /** Whether copies of heartbeats are kept for the next leader. */
    void setKeepHeartbeats(boolean keep) {
        heartbeats.setKeeping(keep);
    }

    // ---- users ----

    void cancel(int number) {
        users.cancel(number);
    }

    void query(int number) {
        users.query(number);
    }

    void queryInBurst(int number) {
        users.queryInBurst(number);
    }

    /** The leader changes right after a cancellation, followed by another one and queries. */
    void cancelDuringFailover(int number) {
        cancel(number);
        pass(number % 7 / 10.0, 0);
        failOver(number % 2 == 0 ? Leadership.Handover.NOTHING : Leadership.Handover.REPLICA);
        cancel(number + 4);
        queryInBurst(number);
    }

    /** A user submits a job of one task; it is cancelled after a while unless that is infinite. */
    void submit(int number, Priority priority, double durationSeconds, double cancelAfterSeconds) {
        tasks.setDuration(
                SimulatedTasks.taskName("job-" + (SimulatedTasks.INITIAL_JOBS + number), 0),
                durationSeconds);
        users.submit(number, priority, durationSeconds, cancelAfterSeconds);
    }

    /** Checks that all jobs have ended; of those not cancelled, the longest wait for a start. */
    double longestWaitSeconds(Priority priority) {
        checker.checkAllJobsEnded(jobs.all(), queueWaits);
        return queueWaits.longestSeconds(priority, jobId -> !cancellations.contains(jobId));
    }

    // ---- what happened ----

    int count(Counter counter) {
        return context.counters().get(counter);
    }

    SimulationCounters counters() {
        return context.counters();
    }

    int acceptedJobCount() {
        return queueWaits.acceptedJobCount();
    }

    int termCount() {
        return (int) leadership.termCount();
    }

    /** Seconds from the newest leader's election to its first decision. */
    double newestFirstDecisionAfterSeconds() {
        return leadership.newestLeader().firstDecisionAfterSeconds();
    }

    /** Transactions that were carried out late, with their conditions met. */
    int lateTransactionCount() {
        return store.lateWrites();
    }

    /** Transactions that were carried out and whose response was lost. */
    int lostResponseCount() {
        return store.lostResponses();
    }

    /** Transactions that the state store refused as too many. */
    int throttledTransactionCount() {
        return store.rateLimitedWrites();
    }
}
