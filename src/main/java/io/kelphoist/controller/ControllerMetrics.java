package io.kelphoist.controller;

import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.election.Election;
import io.kelphoist.events.EventBroker;
import io.kelphoist.failover.PromotionCheck;
import io.kelphoist.leadership.LeaderTerm;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.replication.MachineStateReplica;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.scheduler.cluster.Machine;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The metrics of a controller in the Prometheus text format. Names, tags and tag values are an
 * interface that the operators' dashboards rely on. Values are read at each scrape, on the event
 * loop; those of the scheduler are 0 on a controller that does not lead.
 */
final class ControllerMetrics {
    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ControllerComponents components;

    ControllerMetrics(ControllerComponents components) {
        this.components = components;
        registerHeartbeatMetrics();
        registerDecisionMetrics();
        registerUserMetrics();
        registerEventMetrics();
        registerLeadershipMetrics();
        registerJobMetrics();
        registerMachineMetrics();
        registerReplicationMetrics();
        registerFailoverMetrics();
        registerDelegationMetrics();
        registerResourceMetrics();
    }

    /** Returns all metrics with their current values. */
    String scrape() {
        return registry.scrape();
    }

    private void registerHeartbeatMetrics() {
        registerCounter(
                "kelphoist.reports",
                "Heartbeats received directly from workers",
                ControllerCounters::heartbeats);
        registerCounter(
                "kelphoist.reports.relayed",
                "Heartbeats relayed to the leader",
                ControllerCounters::relayedHeartbeats);
        registerCounter(
                "kelphoist.reports.cared",
                "Worker leases renewed under a lease delegation, without a leader",
                ControllerCounters::delegatedRenewals);
        registerCounter(
                "kelphoist.reports.seconds",
                "Time that the leader spent on heartbeats",
                ControllerCounters::heartbeatSeconds);
        registerGauge(
                "kelphoist.reports.held",
                "Heartbeats whose response the leader holds for a start",
                c -> c.terms().current().map(LeaderTerm::heldResponseCount).orElse(0));
        registerCounter(
                "kelphoist.withheld",
                "Lease renewals and starts that the leader withheld because its cancellation"
                        + " watermark was too old",
                ControllerCounters::withheldResponses);
    }

    private void registerDecisionMetrics() {
        registerCounter(
                "kelphoist.decisions",
                "Scheduling decisions of the leader",
                ControllerCounters::decisions);
        registerCounter(
                "kelphoist.decisions.seconds",
                "Time that the leader spent on scheduling decisions",
                ControllerCounters::decisionSeconds);
        registerStartMetrics();
        registerCounter(
                "kelphoist.orders",
                "Deliveries of commands to workers outside of heartbeat responses",
                ControllerCounters::commandsSent);
        registerCounter(
                "kelphoist.orders.unanswered",
                "Deliveries of commands to workers without a response, whose outcome is unknown",
                ControllerCounters::commandsWithUnknownOutcome);
        registerCounter(
                "kelphoist.messages.bad",
                "Messages and responses that could not be decoded",
                ControllerCounters::malformedMessages);
        registerCounter(
                "kelphoist.errors.unexpected",
                "Tasks of the event loop that failed with an unhandled exception",
                ControllerCounters::unexpectedErrors);
        registerCounter(
                "kelphoist.requests.cut.off",
                "Refused requests whose connections were closed before their bodies were read",
                ControllerCounters::refusedRequestsCutOff);
    }

    private void registerStartMetrics() {
        registerCounter(
                "kelphoist.starts",
                "Task starts sent for the first time",
                ControllerCounters::startsSent);
        registerCounter(
                "kelphoist.starts.repeated",
                "Task starts sent again, as the worker did not receive them",
                ControllerCounters::startsRepeated);
        registerCounter(
                "kelphoist.starts.wait.seconds",
                "Time from the decision of task starts until they were sent",
                ControllerCounters::startWaitSeconds);
    }

    private void registerUserMetrics() {
        for (AdmissionResult.DeferralReason cause : AdmissionResult.DeferralReason.values()) {
            FunctionCounter.builder(
                            "kelphoist.requests.put.off",
                            components.admission(),
                            admission -> admission.deferralCount(cause))
                    .description("Users' requests that were deferred (HTTP status 503), by cause")
                    .tag("cause", cause.name().toLowerCase(Locale.ROOT))
                    .register(registry);
        }
        registerGauge(
                "kelphoist.jobs.unanswered",
                "Jobs whose queries are being deferred",
                c -> c.admission().unansweredJobs().size());
        registerGauge(
                "kelphoist.jobs.unanswered.seconds",
                "Longest time for which the queries for a job have been deferred",
                c -> c.admission().unansweredJobs().longestDeferralSeconds(nowSeconds()));
        registerGauge(
                "kelphoist.queries.waiting.seconds",
                "Time for which queries have waited until the cached job records are current",
                c -> c.admission().revalidationWaitSeconds(nowSeconds()));
    }

    private void registerEventMetrics() {
        registerGauge(
                "kelphoist.streams",
                "Open streams of job events",
                c -> brokerValue(c, EventBroker::streamCount));
        registerFunctionCounter(
                "kelphoist.events",
                "Job events sent to streams",
                c -> brokerValue(c, EventBroker::deliveredEvents));
        registerFunctionCounter(
                "kelphoist.events.present",
                "Job events sent that reported a job's current state in place of several events",
                c -> brokerValue(c, EventBroker::currentStateEvents));
        registerFunctionCounter(
                "kelphoist.streams.slow",
                "Streams that were ended because their clients read too slowly",
                c -> brokerValue(c, EventBroker::slowStreams));
    }

    private void registerLeadershipMetrics() {
        registerGauge(
                "kelphoist.leader",
                "1 while this controller leads",
                c -> c.elector().election().state() == Election.State.LEADER ? 1 : 0);
        registerGauge(
                "kelphoist.term",
                "Newest term that this controller led since its process started; 0 if none",
                c -> c.elector().election().term());
    }

    private void registerJobMetrics() {
        registerGauge(
                "kelphoist.jobs",
                "Unfinished jobs, on the leader",
                c -> schedulerValue(c, scheduler -> scheduler.jobs().size()));
        registerGauge(
                "kelphoist.jobs.longest.wait.seconds",
                "Longest wait of a job without any started task, on the leader",
                c -> schedulerValue(c, SchedulerState::longestWaitSeconds));
        registerGauge(
                "kelphoist.swept",
                "Lost jobs and tasks that reconciliation recovered in this term, on the leader",
                c -> schedulerValue(c, SchedulerState::repairCount));
    }

    private void registerMachineMetrics() {
        registerGauge(
                "kelphoist.machines",
                "Machines, on the leader",
                c -> schedulerValue(c, scheduler -> scheduler.machines().size()));
        registerGauge(
                "kelphoist.machines.up",
                "Machines that send heartbeats, on the leader",
                c -> machineCount(c, machine -> machine.state() == Machine.State.UP));
        registerGauge(
                "kelphoist.machines.doubted",
                "Machines that send heartbeats but are suspected not to receive commands, on the"
                        + " leader",
                c -> machineCount(c, Machine::isSuspected));
        registerCounter(
                "kelphoist.checks",
                "Probes that check whether a machine receives commands",
                ControllerCounters::reachabilityProbes);
    }

    private void registerReplicationMetrics() {
        registerGauge(
                "kelphoist.standby.state",
                "State of the replica of the leader's machines: 0 empty, 1 syncing, 2 in sync,"
                        + " 3 lagging",
                c ->
                        replicaStateCode(
                                c.replication().machineStates().replica().state(nowSeconds())));
        registerGauge(
                "kelphoist.standby.machines",
                "Machines in the replica of the leader's machines",
                c -> c.replication().machineStates().replica().size());
        registerGauge(
                "kelphoist.standby.behind.seconds",
                "Time since the leader last sent an update of its machines",
                c -> c.replication().machineStates().replica().lagSeconds(nowSeconds()));
        registerGauge(
                "kelphoist.standby.followers.behind",
                "Machine changes that the follower with the largest lag has not acknowledged, on"
                        + " the leader",
                c -> c.replication().machineStates().maxFollowerLag());
        registerFunctionCounter(
                "kelphoist.standby.mended",
                "Shards of the machine replica that diverged and were repaired",
                c -> c.replication().machineStates().replica().repairedShardCount());
        registerGauge(
                "kelphoist.standby.records.behind.seconds",
                "Time since the state store last sent the records or their changes",
                c -> c.replication().records().lagSeconds());
        registerGauge(
                "kelphoist.standby.revision",
                "Revision of the state store up to which all records are replicated",
                c -> c.replication().records().replica().oldestRevision());
        registerGauge(
                "kelphoist.standby.jobs",
                "Unfinished jobs in the replicated records",
                c -> c.replication().records().replica().unfinishedJobCount());
    }

    private static int replicaStateCode(MachineStateReplica.State state) {
        return switch (state) {
            case EMPTY -> 0;
            case SYNCING -> 1;
            case IN_SYNC -> 2;
            case LAGGING -> 3;
        };
    }

    private void registerFailoverMetrics() {
        registerCounter(
                "kelphoist.questions",
                "Status requests that a new leader sent to machines",
                ControllerCounters::statusRequests);
        for (PromotionCheck check : PromotionCheck.values()) {
            Gauge.builder(
                            "kelphoist.standby.check.seconds",
                            components,
                            c -> c.replication().machineStates().secondsUntilPassed(check))
                    .description(
                            "Time from the start of the term until this promotion check passed;"
                                    + " NaN if it has not passed or another controller leads")
                    .tag("check", check.name().toLowerCase(Locale.ROOT))
                    .register(registry);
        }
    }

    private void registerDelegationMetrics() {
        registerGauge(
                "kelphoist.mandate",
                "1 while this controller holds a lease delegation, so that it may renew worker"
                        + " leases if it receives nothing from the leader",
                c -> c.replication().leaseDelegation().holdsDelegation(nowSeconds()) ? 1 : 0);
        registerGauge(
                "kelphoist.cancellations.known.age.seconds",
                "Age of the cancellation watermark, up to which the leader has received all"
                        + " confirmed cancellations; NaN on followers",
                c -> c.replication().cancellations().watermarkAgeSeconds());
        registerGauge(
                "kelphoist.cancellations.unacknowledged",
                "Cancellations confirmed to users that no leader has acknowledged",
                c -> c.replication().cancellations().unacknowledgedCount());
    }

    private void registerResourceMetrics() {
        registerGauge(
                "kelphoist.connections.workers",
                "Connections from workers that stay open between heartbeats",
                c -> c.workerConnections().size());
        registerGauge(
                "kelphoist.connections.orders",
                "Open connections to workers, for commands",
                c -> c.systems().workerClient().openConnectionCount());
        registerGauge(
                "kelphoist.loop.late.seconds",
                "Delay of the last periodic tick of the event loop",
                c -> c.tickScheduler().delaySeconds());
        registerGauge(
                "kelphoist.writes.waiting",
                "Writes queued for the state store",
                c -> c.systems().committer().queuedWrites());
    }

    private double nowSeconds() {
        return components.eventLoop().nowSeconds();
    }

    /** Returns a value of the scheduler of the term led here; 0 if none is led. */
    private static double schedulerValue(
            ControllerComponents components, ToDoubleFunction<SchedulerState> valueOf) {
        Optional<LeaderTerm> term = components.terms().current();
        return term.isPresent() ? valueOf.applyAsDouble(term.get().schedulerState()) : 0;
    }

    private static double machineCount(
            ControllerComponents components, Predicate<Machine> isCounted) {
        return schedulerValue(
                components, scheduler -> scheduler.machines().stream().filter(isCounted).count());
    }

    /** Returns a value of the event broker; 0 if gRPC is not served or not started yet. */
    private static double brokerValue(
            ControllerComponents components, ToDoubleFunction<EventBroker> valueOf) {
        Optional<JobEventFeed> feed = components.observers().eventFeed();
        return feed.isPresent() ? valueOf.applyAsDouble(feed.get().eventBroker()) : 0;
    }

    /** Registers a counter that is one of the {@link ControllerCounters}. */
    private void registerCounter(
            String name, String description, ToDoubleFunction<ControllerCounters> valueOf) {
        FunctionCounter.builder(name, components.counters(), valueOf)
                .description(description)
                .register(registry);
    }

    /** Registers a counter that another component has. */
    private void registerFunctionCounter(
            String name, String description, ToDoubleFunction<ControllerComponents> valueOf) {
        FunctionCounter.builder(name, components, valueOf)
                .description(description)
                .register(registry);
    }

    private void registerGauge(
            String name, String description, ToDoubleFunction<ControllerComponents> valueOf) {
        Gauge.builder(name, components, valueOf).description(description).register(registry);
    }
}
