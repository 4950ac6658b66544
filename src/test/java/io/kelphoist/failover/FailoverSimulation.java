package io.kelphoist.failover;

import io.kelphoist.failover.SimulationCounters.Counter;
import io.kelphoist.model.Priority;
import io.kelphoist.model.Resources;
import io.kelphoist.model.Team;
import io.kelphoist.statestore.StateStoreSimulation;
import java.util.Set;

/**
 * Simulates successive leaders that schedule tasks on a few workers, in virtual time, with faults
 * of the network, the machines, the state store and the controllers.
 *
 * <ul>
 *   <li>Commands of earlier leaders arrive after a delay, and commands that were executed and
 *       answered arrive once more, up to two minutes late. Copies of heartbeats arrive up to three
 *       lease durations late, or are the first messages that the next leader receives. Connectivity
 *       may be lost in one direction only.
 *   <li>Workers restart and number their agent epochs from 1 again. The cloud terminates machines
 *       with or without a termination notice, and its responses to scale-out requests may be lost.
 *   <li>The state store is unavailable, refuses only the leader's requests, commits transactions
 *       after a delay, or loses the responses to them.
 *   <li>Users submit, cancel and query jobs at the admissions of all controllers, also while the
 *       leader changes.
 * </ul>
 *
 * <p>{@link SimulationChecker} checks every start, record and response against the rules. At the
 * end of a run, after all faults have ended, as many tasks must run as the team's limit allows.
 */
final class FailoverSimulation {
    /**
     * Time within which the system must converge after the last fault, and again after the last
     * instance list, which the leader receives when this time has passed once.
     */
    private static final double CONVERGENCE_SECONDS = 45;

    private final SimulationContext context;
    private final SimulatedJobs jobs = new SimulatedJobs();
    private final SimulatedTasks tasks = new SimulatedTasks();
    private final AcknowledgedCancellationLog cancellations = new AcknowledgedCancellationLog();
    private final QueueWaitRecorder queueWaits = new QueueWaitRecorder();
    private final SimulationChecker checker;
    private final StateStoreSimulation store;
    private final SimulatedStateStore stateStore;
    private final SimulatedFleet fleet;
    private final CommandCopies commandCopies;
    private final SimulatedNetwork network;
    private final Leadership leadership;
    private final HeartbeatChannel heartbeats;
    private final ReplicaHandover replicaHandover;
    private final SimulatedUsers users;

    /** Creates a run of the usual size in which the test changes the leader. */
    FailoverSimulation(long seed) {
        this(seed, /* maxStatusRequests= */ 2, SimulationSize.USUAL, /* elected= */ false);
    }

    /**
     * Creates a run and its first leader or its controllers.
     *
     * @param maxStatusRequests maximum number of status requests without a response; 0 disables
     *     them
     * @param elected whether three controllers elect the leader; otherwise the test changes it
     */
    FailoverSimulation(long seed, int maxStatusRequests, SimulationSize size, boolean elected) {
        context = new SimulationContext(seed, size);
        checker = new SimulationChecker(context, jobs, tasks, cancellations);
        store = new StateStoreSimulation(context.random().nextInt(), context.nowSeconds());
        stateStore = new SimulatedStateStore(context, jobs, checker, store);
        store.setChangeListener(stateStore::onStored);
        store.limitMutationRate(size.writesPerSecond());
        fleet = new SimulatedFleet(context, tasks, checker, queueWaits, store);
        commandCopies = new CommandCopies(context, seed);
        network = new SimulatedNetwork(context, checker, commandCopies);
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
        leadership.setOnRecordsLoaded(this::onLeaderRecordsLoaded);
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
                new Resources(
                        /* cpus= */ 1e6, /* gpus= */ size.taskLimit() / 2.0, /* memoryGb= */ 1e6),
                new Resources(/* cpus= */ 1e6, /* gpus= */ size.taskLimit(), /* memoryGb= */ 1e6));
    }

    private void onLeaderRecordsLoaded(SimulatedLeader leader) {
        replicaHandover.handOverTo(leader, leadership.handover());
        heartbeats.deliverKept(leader);
    }

    // ---- time ----

    /**
     * Advances the virtual time.
     *
     * @param delayedPerTen how many of ten requests to workers are delayed by a step
     */
    void advance(double seconds, int delayedPerTen) {
        for (double end = context.nowSeconds() + seconds; context.nowSeconds() < end; ) {
            step(delayedPerTen);
        }
    }

    private void step(int delayedPerTen) {
        context.advance();
        leadership.advance(SimulationContext.STEP_SECONDS);
        fleet.advance();
        network.deliver(delayedPerTen);
        store.advance(context.nowSeconds() - store.nowSeconds());
        network.reportOutcomes();
        heartbeats.deliverCopies();
        heartbeats.sendDueHeartbeats();
        leadership.leaders().forEach(SimulatedLeader::readChanges);
        leadership.leaders().forEach(SimulatedLeader::tick);
        checker.checkCancelledTasksStopped(fleet.workers());
    }

    /**
     * Ends all faults and checks that the system converges: as many tasks run as the team's limit
     * and the remaining work allow, the leader tracks every machine, and every controller finds
     * every job.
     */
    void endFaultsAndCheckConvergence() {
        fleet.endFaults();
        freezeLeader(0);
        setDelayedTransactions(0);
        setLostResponses(0);
        setKeepHeartbeatsForNextLeader(false);
        setStateStoreUnavailable(false);
        setLeaderRefusedByStore(false);
        leadership.endFaults();
        context.disableRandomFaults();
        advance(CONVERGENCE_SECONDS, /* delayedPerTen= */ 0);
        listInstances();
        advance(CONVERGENCE_SECONDS, /* delayedPerTen= */ 0);
        SimulatedLeader leader =
                leadership
                        .actingLeader()
                        .orElseThrow(
                                () ->
                                        new AssertionError(
                                                "no leader after all faults ended, expected one: "
                                                        + leadership));
        checker.checkAllMachinesTracked(fleet.workers(), leader);
        users.checkAllJobsFound();
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

    /** The leader replicates its machines to a follower, in an update that may be lost. */
    void replicateMachines() {
        leadership.actingLeader().ifPresent(replicaHandover::replicateFrom);
    }

    /** The leader receives the cloud's instance list. */
    void listInstances() {
        leadership
                .actingLeader()
                .filter(SimulatedLeader::areRecordsLoaded)
                .ifPresent(leader -> leader.onInstanceList(fleet.instances()));
    }

    // ---- the state store ----

    /** Sets how many of ten transactions get no response and are committed after a delay. */
    void setDelayedTransactions(int perTen) {
        store.faults().setLateTransactionsPerTen(perTen);
    }

    /** Sets how many of ten transactions are committed and get no response. */
    void setLostResponses(int perTen) {
        store.faults().setLostResponsesPerTen(perTen);
        leadership.setLostResponses(perTen);
    }

    /** From now on, new leaders know of no done job before they have read its record. */
    void evictDoneJobs() {
        stateStore.evictDoneJobs();
    }

    /** From now on, transactions are in flight until {@link #crashWithTransactionsInFlight}. */
    void holdTransactions() {
        stateStore.transactionsInFlight().hold();
    }

    /**
     * The leader crashes while transactions are in flight. Each arrives at the state store within
     * half a second, or never. Nothing that the leader still has queued arrives.
     *
     * @param subset the transaction sent as number i, from 0, arrives if bit i is set
     * @param downSeconds time until the next leader begins, at least half a second
     */
    void crashWithTransactionsInFlight(
            long subset, double downSeconds, Leadership.Handover handover) {
        freezeLeader(Double.POSITIVE_INFINITY);
        stateStore.transactionsInFlight().deliver(store, subset);
        setLeaderRefusedByStore(true);
        advance(downSeconds, /* delayedPerTen= */ 0);
        failOver(handover);
    }

    /** Number of unfinished jobs whose tasks are all stored as done. */
    int countJobsWithAllTasksStoredAsDone() {
        return stateStore.countJobsWithAllTasksStoredAsDone();
    }

    void setStateStoreUnavailable(boolean unavailable) {
        store.faults().setUnavailable(unavailable);
        leadership.setStateStoreUnavailable(unavailable);
    }

    /** Sets whether the state store refuses only the leader's requests. */
    void setLeaderRefusedByStore(boolean refused) {
        leadership.setLeaderRefusedByStore(refused);
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
        heartbeats.dropResponsesTo(fleet.worker(worker));
    }

    /** A task that runs on the worker fails. */
    void failTask(int worker) {
        fleet.failTaskOn(fleet.worker(worker));
    }

    /** Sets whether the worker refuses all starts for lack of resources. */
    void setRefusesStarts(int worker, boolean refuses) {
        fleet.worker(worker).setRefusesStarts(refuses);
    }

    /** Copies of all commands that workers have executed in this run arrive at once. */
    void repeatExecutedCommands() {
        commandCopies.deliverAllAgain();
    }

    void finishTask(int worker) {
        fleet.finishTaskOn(fleet.worker(worker));
    }

    /**
     * The cloud terminates a machine after its termination notice; with 0 seconds, without a
     * notice.
     */
    void terminateMachine(int worker, double noticeSeconds) {
        fleet.worker(worker).terminateAt(context.nowSeconds() + noticeSeconds);
    }

    /** Sets whether copies of heartbeats are kept and delivered to the next leader. */
    void setKeepHeartbeatsForNextLeader(boolean keepForNextLeader) {
        heartbeats.setKeepForNextLeader(keepForNextLeader);
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

    /**
     * Changes the leader shortly after a cancellation. Another cancellation and queries follow
     * immediately.
     */
    void cancelDuringFailover(int number) {
        cancel(number);
        advance(number % 7 / 10.0, /* delayedPerTen= */ 0);
        failOver(number % 2 == 0 ? Leadership.Handover.NOTHING : Leadership.Handover.REPLICA);
        cancel(number + 4);
        queryInBurst(number);
    }

    /** A user submits a job of one task, and cancels it after a delay unless that is infinite. */
    void submit(int number, Priority priority, double durationSeconds, double cancelAfterSeconds) {
        tasks.setDuration(
                SimulatedTasks.taskName("job-" + (SimulatedTasks.INITIAL_JOBS + number), 0),
                durationSeconds);
        users.submit(number, priority, durationSeconds, cancelAfterSeconds);
    }

    /**
     * Checks that all jobs have ended, and returns the longest wait from the acceptance until the
     * first start among the submitted jobs of a priority that were not cancelled; 0 if there are
     * none.
     */
    double longestWaitSeconds(Priority priority) {
        checker.checkAllJobsEnded(jobs.all(), queueWaits);
        return queueWaits.longestSeconds(priority, jobId -> !cancellations.contains(jobId));
    }

    // ---- results ----

    Set<String> runningAttempts() {
        return fleet.runningAttempts();
    }

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

    /**
     * Returns the seconds from the newest leader's election to its first scheduling decision; NaN
     * before that.
     */
    double newestFirstDecisionAfterSeconds() {
        return leadership.newestLeader().firstDecisionAfterSeconds();
    }

    /** Returns the number of transactions that were committed after a delay. */
    int delayedTransactionCount() {
        return store.lateTransactions();
    }

    /** Returns the number of transactions that were committed and whose response was lost. */
    int lostResponseCount() {
        return store.lostResponses();
    }

    /**
     * Returns the number of transactions that the state store rejected because of its write limit.
     */
    int rejectedTransactionCount() {
        return store.rateLimitedTransactions();
    }
}
