package io.kelphoist.controller;

import io.kelphoist.admission.Admission;
import io.kelphoist.admission.AdmissionSettings;
import io.kelphoist.cloud.CloudClient;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.delegation.DelegationTiming;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.heartbeat.FollowerHeartbeatHandler;
import io.kelphoist.heartbeat.HeartbeatEndpoint;
import io.kelphoist.heartbeat.HeartbeatRouter;
import io.kelphoist.heartbeat.WorkerConnections;
import io.kelphoist.leadership.CancellationReplication;
import io.kelphoist.leadership.CloudGateway;
import io.kelphoist.leadership.ExternalSystems;
import io.kelphoist.leadership.GrantExchange;
import io.kelphoist.leadership.LeaderContext;
import io.kelphoist.leadership.LeaderElector;
import io.kelphoist.leadership.LeaderTermFactory;
import io.kelphoist.leadership.LeaderTermLifecycle;
import io.kelphoist.leadership.LeaseDelegationHandler;
import io.kelphoist.leadership.MachineStateReplication;
import io.kelphoist.leadership.RecordReplication;
import io.kelphoist.leadership.RenewalGate;
import io.kelphoist.leadership.ReplicationHandlers;
import io.kelphoist.leadership.TaskCountReplication;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.peer.PeerClient;
import io.kelphoist.sockets.SocketBudget;
import io.kelphoist.statestore.GroupCommitter;
import io.kelphoist.statestore.RateLimitedReader;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.wire.HttpExchanges;
import io.kelphoist.wire.HttpHostClient;
import io.kelphoist.worker.WorkerClient;
import io.undertow.connector.ByteBufferPool;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * The composition root of a controller: creates its components and connects them. The components do
 * nothing before {@link Controller#start}. Used once, on the event loop.
 */
final class ControllerFactory {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerFactory.class);
    private static final int MAX_STATE_CONNECTIONS = 5;

    /** Two for leases and the leadership keys, and one for each transaction in flight. */
    private static final int MAX_URGENT_CONNECTIONS = 2 + GroupCommitter.MAX_IN_FLIGHT;

    /** One for the leadership keys, one for each of four kinds of records, one for gRPC's jobs. */
    private static final int MAX_WATCH_CONNECTIONS = 6;

    private static final int MAX_CLOUD_CONNECTIONS = 2;
    private static final int MAX_CONNECTIONS_PER_PEER = 4;
    private static final int MAX_CONNECTIONS_PER_WORKER = 1;

    /**
     * Share of the state store's request limit for each controller. During a failover, two of three
     * controllers may use their full share at the same time.
     */
    private static final double STATE_REQUEST_SHARE = 0.45;

    /** Share of a controller's requests to the state store that users' reads may use. */
    private static final double USER_READ_SHARE = 0.6;

    /** Share of the state store's write limit for each controller. */
    private static final double STATE_WRITE_SHARE = 0.55;

    private final PlatformSettings settings;
    private final OperatorSettings operatorSettings;
    private final XnioIoThread ioThread;
    private final ByteBufferPool bufferPool;
    private final double startedAtSeconds;
    private final ControllerCounters counters = new ControllerCounters();
    private final EventLoop eventLoop;
    private final TickScheduler tickScheduler;
    private final SocketBudget socketBudget;

    /**
     * Creates a factory for one controller.
     *
     * @param ioThread the thread of the event loop
     * @param startedAtSeconds when the process started, on the event loop's clock
     */
    ControllerFactory(
            PlatformSettings settings,
            OperatorSettings operatorSettings,
            XnioIoThread ioThread,
            ByteBufferPool bufferPool,
            double startedAtSeconds) {
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        this.ioThread = ioThread;
        this.bufferPool = bufferPool;
        this.startedAtSeconds = startedAtSeconds;
        this.eventLoop = new XnioEventLoop(ioThread, counters);
        this.tickScheduler = new TickScheduler(eventLoop);
        this.socketBudget = new SocketBudget(settings.socketLimit());
    }

    /** Creates the components of the controller and connects them. */
    ControllerComponents create() {
        PeerClient peerClient = newPeerClient();
        ExternalSystems systems = newExternalSystems();
        ReplicationHandlers replication = newReplicationHandlers(systems, peerClient);
        LeaderElector elector = newElector(systems, peerClient);
        JobObservers observers = new JobObservers();
        LeaderTermLifecycle terms = newTerms(systems, replication, elector, observers);
        observers.attach(terms);
        WorkerConnections workerConnections =
                new WorkerConnections(socketBudget, settings.workers().leaseSeconds());
        HeartbeatEndpoint heartbeatEndpoint =
                new HeartbeatEndpoint(
                        elector,
                        eventLoop,
                        counters,
                        workerConnections,
                        terms::respondToHeartbeat,
                        newFollowerHeartbeatHandler(elector, peerClient, replication));
        return new ControllerComponents(
                settings,
                counters,
                eventLoop,
                tickScheduler,
                peerClient,
                systems,
                replication,
                elector,
                terms,
                new GrantExchange(elector, terms, replication, systems.stateClient(), eventLoop),
                observers,
                workerConnections,
                heartbeatEndpoint,
                newAdmission(systems, replication));
    }

    // ---- clients ----

    private HttpHostClient newHttpClient(String address, String contentType, int maxConnections) {
        return new HttpHostClient(ioThread, bufferPool, address, contentType, maxConnections);
    }

    private void onMalformedResponse(String logFields) {
        counters.onMalformedMessage();
        LOG.warn("malformed response: {}", logFields);
    }

    private PeerClient newPeerClient() {
        Map<String, HttpHostClient> clients = new HashMap<>();
        for (PlatformSettings.Peer peer : settings.peers()) {
            clients.put(
                    peer.name(),
                    newHttpClient(peer.address(), HttpExchanges.JSON, MAX_CONNECTIONS_PER_PEER));
        }
        return new PeerClient(clients, this::onMalformedResponse);
    }

    private ExternalSystems newExternalSystems() {
        StateStoreClient stateClient = newStateClient();
        GroupCommitter committer =
                new GroupCommitter(
                        stateClient,
                        eventLoop,
                        settings.stateLimits().writesPerSecond() * STATE_WRITE_SHARE,
                        settings.stateLimits().maxTransactionChanges());
        WorkerClient workerClient =
                new WorkerClient(
                        address ->
                                newHttpClient(
                                        address, HttpExchanges.CBOR, MAX_CONNECTIONS_PER_WORKER),
                        socketBudget.maxCommandConnections());
        return new ExternalSystems(
                stateClient, committer, newCloudGateway(stateClient), workerClient);
    }

    private StateStoreClient newStateClient() {
        String address = settings.stateAddress();
        return new StateStoreClient(
                newHttpClient(address, HttpExchanges.CBOR, MAX_STATE_CONNECTIONS),
                newHttpClient(address, HttpExchanges.CBOR, MAX_URGENT_CONNECTIONS),
                newHttpClient(address, HttpExchanges.CBOR, MAX_WATCH_CONNECTIONS),
                eventLoop,
                stateRequestsPerSecond(),
                this::onMalformedResponse);
    }

    private double stateRequestsPerSecond() {
        return settings.stateLimits().requestsPerSecond() * STATE_REQUEST_SHARE;
    }

    private CloudGateway newCloudGateway(StateStoreClient stateClient) {
        double requestsPerSecond = settings.cloudLimits().requestsPerSecond();
        CloudClient cloudClient =
                new CloudClient(
                        newHttpClient(
                                settings.cloudAddress(), HttpExchanges.CBOR, MAX_CLOUD_CONNECTIONS),
                        eventLoop,
                        requestsPerSecond,
                        this::onMalformedResponse);
        return new CloudGateway(
                cloudClient, stateClient, eventLoop, requestsPerSecond, tickScheduler::requestTick);
    }

    // ---- leadership ----

    private ReplicationHandlers newReplicationHandlers(
            ExternalSystems systems, PeerClient peerClient) {
        RecordReplication records = new RecordReplication(systems.stateClient(), eventLoop);
        return new ReplicationHandlers(
                records,
                new MachineStateReplication(operatorSettings.standby(), eventLoop),
                new TaskCountReplication(),
                new LeaseDelegationHandler(
                        settings, operatorSettings.leaseDelegation(), startedAtSeconds),
                new CancellationReplication(
                        peerClient.peerNames(),
                        eventLoop,
                        records::jobsCurrentAsOfSeconds,
                        counters,
                        startedAtSeconds));
    }

    private LeaderElector newElector(ExternalSystems systems, PeerClient peerClient) {
        LeaderElector.Parameters parameters =
                new LeaderElector.Parameters(
                        settings.controllerName(),
                        settings.peers().stream().map(PlatformSettings.Peer::name).toList(),
                        operatorSettings.leaderLeaseMillis(),
                        operatorSettings.grantMillis(),
                        startedAtSeconds);
        return new LeaderElector(parameters, systems.stateClient(), peerClient, eventLoop);
    }

    private FollowerHeartbeatHandler newFollowerHeartbeatHandler(
            LeaderElector elector, PeerClient peerClient, ReplicationHandlers replication) {
        return new FollowerHeartbeatHandler(
                elector,
                peerClient,
                eventLoop,
                counters,
                new HeartbeatRouter(settings.peerZones(), settings.workers().leaseSeconds()),
                replication.leaseDelegation());
    }

    private RenewalGate newRenewalGate(ReplicationHandlers replication) {
        return new RenewalGate(
                DelegationTiming.of(
                        settings.workers().cancelSeconds(), settings.workers().leaseSeconds()),
                eventLoop,
                replication.cancellations()::watermarkSeconds,
                counters);
    }

    private LeaderTermLifecycle newTerms(
            ExternalSystems systems,
            ReplicationHandlers replication,
            LeaderElector elector,
            JobObservers observers) {
        LeaderContext context =
                new LeaderContext(
                        settings,
                        operatorSettings,
                        eventLoop,
                        counters,
                        newRenewalGate(replication),
                        tickScheduler::requestTick,
                        observers::onTaskEvent);
        return new LeaderTermLifecycle(
                elector.election(),
                context,
                systems,
                replication,
                new LeaderTermFactory(context, systems, replication));
    }

    // ---- users ----

    private Admission newAdmission(ExternalSystems systems, ReplicationHandlers replication) {
        RateLimitedReader userReads =
                new RateLimitedReader(
                        systems.stateClient(),
                        eventLoop,
                        stateRequestsPerSecond() * USER_READ_SHARE);
        AdmissionSettings admissionSettings =
                new AdmissionSettings(
                        settings.teams(),
                        settings.zones(),
                        settings.stateLimits().maxValueKilobytes(),
                        settings.workers().cancelSeconds());
        return Admission.create(
                new Admission.StoreAccess(userReads, systems.committer()::submit),
                eventLoop,
                System::currentTimeMillis,
                new AdmissionClusterView(
                        systems.cloudGateway(), replication.taskCounts(), tickScheduler),
                admissionSettings,
                replication.cancellations()::beforeStatusReported);
    }
}
