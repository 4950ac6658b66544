package io.kelphoist.controller;

import io.kelphoist.config.GrpcSettings;
import io.kelphoist.events.EventBroker;
import io.kelphoist.grpc.GrpcServer;
import io.kelphoist.model.Team;
import io.kelphoist.peer.TaskEventClient;
import io.kelphoist.peer.TaskEventCodec.EventsRequest;
import io.kelphoist.peer.TaskEventCodec.TermUpdate;
import io.kelphoist.scheduler.cluster.Job;
import io.kelphoist.scheduler.spi.TaskEvent;
import io.kelphoist.statestore.RecordWatcher;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;

/**
 * The gRPC server of a controller and the sources of its event broker, which work on the leader and
 * on followers. Stored records come from a watch of the state store ({@link RecordEventPublisher}).
 * Transient events come from the term led here ({@link TaskEventPublisher}) or, on a follower, from
 * the leader ({@link LeaderEventPoller}).
 *
 * <p>Owns these components and the event thread. Methods run on the event loop unless stated
 * otherwise.
 */
final class JobEventFeed {
    /** How long the state store may hold a request for changes of jobs. */
    private static final int WATCH_HOLD_MILLIS = 1000;

    private final EventThread eventThread;
    private final AdmissionBackend backend;
    private final GrpcServer grpcServer;
    private final JobRecordReader recordReader;
    private final RecordWatcher recordWatcher;
    private final TaskEventPublisher taskEvents;
    private final LeaderEventPoller leaderEvents;
    private volatile boolean stopped;

    private JobEventFeed(
            EventThread eventThread,
            AdmissionBackend backend,
            GrpcServer grpcServer,
            JobRecordReader recordReader,
            ControllerComponents components) {
        this.eventThread = eventThread;
        this.backend = backend;
        this.grpcServer = grpcServer;
        this.recordReader = recordReader;
        BrokerUpdates brokerUpdates =
                new BrokerUpdates(eventThread, grpcServer.eventBroker(), components.eventLoop());
        recordWatcher =
                new RecordWatcher(
                        components.systems().stateClient(),
                        components.eventLoop(),
                        StateStoreKeys.JOBS_PREFIX,
                        WATCH_HOLD_MILLIS,
                        new RecordEventPublisher(
                                recordReader, brokerUpdates, components.eventLoop()));
        taskEvents = new TaskEventPublisher(brokerUpdates, components.eventLoop());
        leaderEvents =
                new LeaderEventPoller(
                        new TaskEventClient(components.peerClient()),
                        components.elector()::leader,
                        brokerUpdates,
                        components.eventLoop());
    }

    /**
     * Creates the feed and starts its gRPC server, which may take a second. May be called on any
     * thread.
     *
     * @param loopExecutor runs tasks on the event loop
     * @throws IOException if the server can't be started
     */
    static JobEventFeed create(
            GrpcSettings settings, ControllerComponents components, Executor loopExecutor)
            throws IOException {
        EventThread eventThread = new EventThread();
        JobRecordReader recordReader =
                new JobRecordReader(
                        components.systems().stateClient(),
                        components.admission(),
                        components.eventLoop());
        AdmissionBackend backend =
                new AdmissionBackend(
                        components.admission(), recordReader, loopExecutor, eventThread);
        GrpcServer grpcServer =
                GrpcServer.create(
                        settings,
                        components.settings().teams().stream()
                                .map(Team::name)
                                .collect(Collectors.toSet()),
                        backend,
                        eventThread.executor());
        grpcServer.start();
        return new JobEventFeed(eventThread, backend, grpcServer, recordReader, components);
    }

    /** Starts to watch the state store and to poll the leader. */
    void start() {
        recordWatcher.watch(0);
        leaderEvents.poll();
    }

    /**
     * The event broker. Outside the event thread only its counters may be read, for the metrics.
     */
    EventBroker eventBroker() {
        return grpcServer.eventBroker();
    }

    /** The port of the gRPC server. May be called on any thread. */
    int port() {
        return grpcServer.port();
    }

    /**
     * Ends all streams and stops the gRPC server; blocks until then, see {@link GrpcServer#close}.
     * A second call has no effect. May be called on any thread except the event thread.
     */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        recordReader.stop();
        leaderEvents.stop();
        backend.runOnLoop(recordWatcher::stop);
        grpcServer.close();
        eventThread.close();
    }

    /** Takes task events from the term that this controller leads from now on. */
    void onElected(long term) {
        leaderEvents.onElected();
        taskEvents.onElected(term);
    }

    /** Takes task events from the leader again, as the term led here ended. */
    void onTermEnded() {
        taskEvents.onTermEnded();
        leaderEvents.onTermEnded();
    }

    /**
     * Publishes an event of a job's tasks in the term led here.
     *
     * @param isFailoverComplete false while this leader is still discovering the tasks that earlier
     *     leaders started
     */
    void onTaskEvent(Job job, TaskEvent event, boolean isFailoverComplete, long atMillis) {
        taskEvents.onTaskEvent(job, event, isFailoverComplete, atMillis);
    }

    /** Returns the response to another controller's request; empty if no term is led here. */
    Optional<TermUpdate> onEventsRequest(EventsRequest request) {
        return taskEvents.updateFor(request);
    }
}
