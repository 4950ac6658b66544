package io.kelphoist.controller;

import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.leadership.CloudGateway;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.leadership.LeaderTerm;
import io.kelphoist.leadership.LeaderTermLifecycle;
import io.kelphoist.leadership.ReplicationHandlers;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.statestore.GroupCommitter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;

/**
 * Drives one controller: starts its components, runs their ticks, and hands the leadership over
 * when the process shuts down. Owns none of the components' state. Runs on the event loop, which is
 * a single I/O thread.
 */
final class Controller implements LeaderElector.TermListener {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final double LOAD_LOG_INTERVAL_SECONDS = 5;

    /** How long the shutdown of a leader waits for commands in flight and queued writes. */
    private static final double DRAIN_TIMEOUT_SECONDS = 1.0;

    private static final double DRAIN_POLL_SECONDS = 0.05;

    /** How long a shutdown waits for the handover messages to be sent. */
    private static final double HANDOVER_GRACE_SECONDS = 0.3;

    /** MDC key that adds the term led here to each log line. */
    private static final String TERM_LOG_FIELD = "term";

    private final ControllerComponents components;
    private final EventLoop eventLoop;
    private final LeaderElector elector;
    private final LeaderTermLifecycle terms;
    private final ReplicationHandlers replication;
    private final CloudGateway cloudGateway;
    private boolean shuttingDown;
    private double nextLoadLogAtSeconds;

    Controller(ControllerComponents components) {
        this.components = components;
        this.eventLoop = components.eventLoop();
        this.elector = components.elector();
        this.terms = components.terms();
        this.replication = components.replication();
        this.cloudGateway = components.systems().cloudGateway();
    }

    /** Starts replication, elections, ticks and the read of the machine types. Called once. */
    void start() {
        replication.records().start();
        elector.start(this, components.grantExchange());
        components.tickScheduler().start(this::tick);
        cloudGateway.readStoredTypes();
    }

    /** The components that this controller drives. */
    ControllerComponents components() {
        return components;
    }

    /**
     * Whether users and workers should use this controller: it has the machine types, and it does
     * not appear to be isolated from the state store while other controllers are not. An outage of
     * the state store for all controllers makes none of them unhealthy.
     */
    boolean isHealthy() {
        return !cloudGateway.machineTypes().isEmpty() && !elector.isIsolatedFromStateStore();
    }

    // ---- ticks ----

    private void tick() {
        double nowSeconds = eventLoop.nowSeconds();
        elector.tick();
        if (terms.loaded().isPresent()
                && !shuttingDown
                && elector.election().isLeader(nowSeconds)
                && !runLeaderTick(terms.loaded().get(), nowSeconds)) {
            return;
        }
        components.systems().workerClient().closeIdle(nowSeconds);
        components.workerConnections().closeIdle(nowSeconds);
    }

    /** Runs the leader's part of a tick; returns false if the term ended before the last step. */
    private boolean runLeaderTick(LeaderTerm term, double nowSeconds) {
        runSchedulingDecision(term, nowSeconds);
        if (terms.current().orElse(null) != term) {
            // The decision ended the term, for example because a write found a newer term stored.
            return false;
        }
        if (term.schedulerState().isDeposed()) {
            elector.election().resign("a worker reported a newer term", nowSeconds);
            return false;
        }
        cloudGateway.poll(nowSeconds);
        replication
                .leaseDelegation()
                .offerToSelf(
                        term.schedulerState(),
                        replication.cancellations().watermarkSeconds(),
                        nowSeconds);
        replication
                .leaseDelegation()
                .storeRecords(term.store(), (double) System.currentTimeMillis(), nowSeconds);
        logLeaderLoad(nowSeconds);
        // The last step, since it may end the term.
        term.resignIfIsolated(nowSeconds);
        return true;
    }

    private void runSchedulingDecision(LeaderTerm term, double nowSeconds) {
        term.decide(nowSeconds);
        components.counters().onDecision(eventLoop.nowSeconds() - nowSeconds);
        components.tickScheduler().onDecided(eventLoop.nowSeconds() - nowSeconds, nowSeconds);
    }

    /** Logs the work of a leader's event loop, if the last log line is old enough. */
    private void logLeaderLoad(double nowSeconds) {
        if (nowSeconds < nextLoadLogAtSeconds) {
            return;
        }
        nextLoadLogAtSeconds = nowSeconds + LOAD_LOG_INTERVAL_SECONDS;
        ControllerCounters counters = components.counters();
        LOG.debug(
                "leader load since process start: heartbeats={} heartbeatSeconds={} decisions={}"
                        + " decisionSeconds={} workerConnections={} commandConnections={}"
                        + " queuedWrites={}",
                counters.heartbeats(),
                counters.heartbeatSeconds(),
                counters.decisions(),
                counters.decisionSeconds(),
                components.workerConnections().size(),
                components.systems().workerClient().openConnectionCount(),
                components.systems().committer().queuedWrites());
    }

    // ---- terms ----

    @Override
    public void onTermStarted(long term, long termVersion) {
        MDC.put(TERM_LOG_FIELD, Long.toString(term));
        LOG.info("elected as leader: term={}", term);
        components.observers().onTermStarted(term);
        terms.start(term, termVersion);
    }

    @Override
    public void onTermEnded() {
        LOG.info("leadership ended: term={}", elector.election().term());
        MDC.remove(TERM_LOG_FIELD);
        terms.end();
        components.observers().onTermEnded();
    }

    // ---- shutdown ----

    /**
     * Prepares this controller for the end of its process: stops making scheduling decisions and,
     * if it leads, waits at most {@value #DRAIN_TIMEOUT_SECONDS} s until no command is in flight
     * and no write is queued, and hands the leadership over. Writes that were sent are not waited
     * for.
     *
     * @param onComplete runs on the event loop once the process may stop
     */
    void shutDown(Runnable onComplete) {
        shuttingDown = true;
        awaitDrained(eventLoop.nowSeconds() + DRAIN_TIMEOUT_SECONDS, onComplete);
    }

    private void awaitDrained(double deadlineSeconds, Runnable onComplete) {
        if (!isDrained() && eventLoop.nowSeconds() < deadlineSeconds) {
            eventLoop.schedule(DRAIN_POLL_SECONDS, () -> awaitDrained(deadlineSeconds, onComplete));
            return;
        }
        boolean wasLeader = terms.current().isPresent();
        elector.election().resign("controller shutdown", eventLoop.nowSeconds());
        eventLoop.schedule(wasLeader ? HANDOVER_GRACE_SECONDS : 0, onComplete);
    }

    private boolean isDrained() {
        GroupCommitter committer = components.systems().committer();
        return terms.current()
                .map(
                        term ->
                                !term.schedulerState().hasCommandsInFlight()
                                        && committer.queuedWrites() == 0)
                .orElse(true);
    }
}
