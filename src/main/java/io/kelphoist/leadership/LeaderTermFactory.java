package io.kelphoist.leadership;

import io.kelphoist.config.PlatformSettings;
import io.kelphoist.election.Election;
import io.kelphoist.failover.Failover;
import io.kelphoist.model.SchedulingPolicy;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.sockets.SocketBudget;

/** Creates the components of a term that this controller leads, and starts the term. */
public final class LeaderTermFactory {
    /**
     * The status requests of a failover may use at most one in this many of the connections for
     * commands; the others remain available for commands.
     */
    private static final int STATUS_REQUEST_CONNECTION_DIVISOR = 2;

    /**
     * Upper bound of the status requests in flight. With more of them the responses do not arrive
     * sooner.
     */
    private static final int MAX_STATUS_REQUESTS = 128;

    /**
     * If standby is disabled, no status requests are sent, and the failover waits for regular
     * heartbeats.
     */
    private static final int NO_STATUS_REQUESTS = 0;

    private static final int BYTES_PER_KILOBYTE = 1024;

    private final LeaderContext context;
    private final ExternalSystems systems;
    private final ReplicationHandlers replication;

    /** Creates a factory for all terms of a controller. */
    public LeaderTermFactory(
            LeaderContext context, ExternalSystems systems, ReplicationHandlers replication) {
        this.context = context;
        this.systems = systems;
        this.replication = replication;
    }

    /**
     * Starts a term. The cloud gateway must have the machine types.
     *
     * @param termVersion version of the term key: the revision at which the term was stored
     */
    LeaderTerm start(long termNumber, long termVersion, Election election) {
        LeaderTerm.Identity identity =
                new LeaderTerm.Identity(termNumber, termVersion, context.nowSeconds());
        LeaderTerm.Components components = newComponents(identity, election);
        LeaderTerm term =
                new LeaderTerm(
                        identity,
                        election,
                        context,
                        replication,
                        systems.cloudGateway(),
                        components);
        systems.cloudGateway().onTermStarted(components.schedulerState(), components.store());
        replication.machineStates().onTermStarted(components.failover());
        term.start();
        return term;
    }

    private LeaderTerm.Components newComponents(LeaderTerm.Identity identity, Election election) {
        TermRecordStore store = newStore(identity, election);
        WorkerCommandSender commandSender =
                new WorkerCommandSender(
                        identity.number(), election, context, systems.workerClient());
        TermOutput output =
                new TermOutput(election, context, commandSender, store, systems.cloudGateway());
        Failover failover = newFailover(identity, commandSender);
        SchedulerState schedulerState =
                new SchedulerState(
                        context.operatorSettings().toPolicy(context.settings()),
                        output,
                        replication
                                .leaseDelegation()
                                .onElected(identity.number(), identity.startedAtSeconds()),
                        failover,
                        identity.number(),
                        systems.cloudGateway().machineTypes());
        output.attach(schedulerState, failover);
        return new LeaderTerm.Components(failover, schedulerState, store, output);
    }

    private TermRecordStore newStore(LeaderTerm.Identity identity, Election election) {
        TermRecordWriter writer =
                new TermRecordWriter(
                        systems.stateClient(),
                        systems.committer(),
                        context.eventLoop(),
                        identity.version(),
                        () -> election.resign("a newer term is stored", context.nowSeconds()),
                        context.requestTick());
        double maxValueKilobytes = context.settings().stateLimits().maxValueKilobytes();
        return new TermRecordStore(
                systems.stateClient(),
                writer,
                context.eventLoop(),
                System::currentTimeMillis,
                (int) (maxValueKilobytes * BYTES_PER_KILOBYTE));
    }

    private Failover newFailover(LeaderTerm.Identity identity, WorkerCommandSender commandSender) {
        PlatformSettings settings = context.settings();
        return new Failover(
                identity.number(),
                SchedulingPolicy.MISSED_HEARTBEAT_FACTOR
                        * settings.workers().heartbeatIntervalSeconds(),
                settings.cloudLimits().listLagSeconds(),
                maxStatusRequests(),
                commandSender::requestStatus,
                identity.startedAtSeconds());
    }

    private int maxStatusRequests() {
        if (!context.operatorSettings().standby()) {
            return NO_STATUS_REQUESTS;
        }
        int commandConnections =
                new SocketBudget(context.settings().socketLimit()).maxCommandConnections();
        int requests =
                Math.min(
                        MAX_STATUS_REQUESTS,
                        commandConnections / STATUS_REQUEST_CONNECTION_DIVISOR);
        return Math.max(1, requests);
    }
}
