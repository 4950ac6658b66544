package io.kelphoist.controller;

import com.google.common.net.HostAndPort;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.config.PlatformSettings;
import io.kelphoist.sockets.SocketBudget;
import io.kelphoist.trace.JobTracer;
import io.kelphoist.trace.SpanProcessors;
import io.kelphoist.wire.RequestBodyReceiver;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.ConnectorStatistics;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The sockets and threads of one controller. Owns the XNIO worker, whose only I/O thread is the
 * event loop, and the HTTP server. Its methods are called from outside the event loop.
 */
public final class ControllerProcess {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 64;
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /**
     * Once the limit of incoming connections is reached, no further ones are accepted until one in
     * {@value} of them is closed.
     */
    private static final int CONNECTION_HYSTERESIS_DIVISOR = 16;

    private static final int SHUTDOWN_TIMEOUT_SECONDS = 3;

    private final XnioWorker worker;
    private final Undertow server;
    private final Controller controller;
    private final Optional<JobEventFeed> eventFeed;
    private final Optional<JobTraceRecorder> traceRecorder;

    private ControllerProcess(
            XnioWorker worker,
            Undertow server,
            Controller controller,
            Optional<JobEventFeed> eventFeed,
            Optional<JobTraceRecorder> traceRecorder) {
        this.worker = worker;
        this.server = server;
        this.controller = controller;
        this.eventFeed = eventFeed;
        this.traceRecorder = traceRecorder;
    }

    /**
     * Starts a controller and opens its HTTP ports and, if gRPC is enabled, its gRPC port.
     *
     * @param startedAtSeconds when this process started, on the monotonic clock
     * @throws IOException if a socket or thread can't be set up
     */
    public static ControllerProcess start(
            PlatformSettings settings, OperatorSettings operatorSettings, double startedAtSeconds)
            throws IOException {
        XnioWorker worker = newWorker();
        ByteBufferPool bufferPool =
                new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
        ControllerFactory factory =
                new ControllerFactory(
                        settings,
                        operatorSettings,
                        worker.getIoThread(),
                        bufferPool,
                        startedAtSeconds);
        CompletableFuture<Controller> started = new CompletableFuture<>();
        worker.getIoThread().execute(() -> startController(factory, started));
        Controller controller = started.join();
        ControllerComponents components = controller.components();
        Optional<JobTraceRecorder> traceRecorder =
                addTraceRecorder(components, operatorSettings, worker);
        Optional<JobEventFeed> eventFeed = addEventFeed(components, operatorSettings, worker);
        Undertow server = newServer(settings, worker, bufferPool, controller);
        server.start();
        ConnectorStatistics statistics = server.getListenerInfo().get(0).getConnectorStatistics();
        components.workerConnections().setIncomingConnectionCount(statistics::getActiveConnections);
        LOG.info(
                "controller started: controller={} listenAddress={} peerListenAddress={}",
                settings.controllerName(),
                settings.listenAddress(),
                settings.peerListenAddress());
        return new ControllerProcess(worker, server, controller, eventFeed, traceRecorder);
    }

    private static XnioWorker newWorker() throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap();
        return Xnio.getInstance().createWorker(options);
    }

    /** Creates and starts a controller; runs on the event loop. */
    private static void startController(
            ControllerFactory factory, CompletableFuture<Controller> started) {
        try {
            Controller controller = new Controller(factory.create());
            controller.start();
            started.complete(controller);
        } catch (RuntimeException e) {
            started.completeExceptionally(e);
        }
    }

    /**
     * Adds the recorder of traces if the operators enabled traces. Creating it is slow and happens
     * outside the event loop, which goes on meanwhile; the recorder observes jobs once the event
     * loop has added it.
     */
    private static Optional<JobTraceRecorder> addTraceRecorder(
            ControllerComponents components, OperatorSettings operatorSettings, XnioWorker worker) {
        if (operatorSettings.traceCollector().isEmpty()) {
            return Optional.empty();
        }
        JobTracer tracer =
                new JobTracer(
                        components.settings().controllerName(),
                        SpanProcessors.forEndpoint(operatorSettings.traceCollector().get()));
        JobTraceRecorder recorder = new JobTraceRecorder(tracer, System::currentTimeMillis);
        worker.getIoThread()
                .execute(
                        () -> {
                            components.observers().addTraceRecorder(recorder);
                            components.admission().setSubmissionListener(recorder::onSubmission);
                        });
        return Optional.of(recorder);
    }

    /**
     * Adds the event feed with its gRPC server if the operators enabled gRPC. Creating it is slow
     * and happens outside the event loop, which goes on meanwhile; the feed observes jobs once the
     * event loop has added it.
     */
    private static Optional<JobEventFeed> addEventFeed(
            ControllerComponents components, OperatorSettings operatorSettings, XnioWorker worker)
            throws IOException {
        if (operatorSettings.grpc().isEmpty()) {
            return Optional.empty();
        }
        JobEventFeed feed =
                JobEventFeed.create(
                        operatorSettings.grpc().get(), components, worker.getIoThread());
        worker.getIoThread().execute(() -> components.observers().addEventFeed(feed));
        return Optional.of(feed);
    }

    private static Undertow newServer(
            PlatformSettings settings,
            XnioWorker worker,
            ByteBufferPool bufferPool,
            Controller controller) {
        HostAndPort publicAddress = HostAndPort.fromString(settings.listenAddress());
        HostAndPort peerAddress = HostAndPort.fromString(settings.peerListenAddress());
        SocketBudget socketBudget = new SocketBudget(settings.socketLimit());
        int maxIncoming = socketBudget.maxIncomingConnections();
        int resumeAcceptingBelow =
                Math.max(1, maxIncoming - maxIncoming / CONNECTION_HYSTERESIS_DIVISOR);
        return RequestBodyReceiver.newServerBuilder()
                .setWorker(worker)
                .setByteBufferPool(bufferPool)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setSocketOption(Options.BACKLOG, socketBudget.backlog())
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxIncoming)
                .setSocketOption(Options.CONNECTION_LOW_WATER, resumeAcceptingBelow)
                .setSocketOption(Options.TCP_NODELAY, true)
                .addHttpListener(
                        publicAddress.getPort(),
                        publicAddress.getHost(),
                        new PublicRoutes(controller))
                .addHttpListener(
                        peerAddress.getPort(),
                        peerAddress.getHost(),
                        new PeerRoutes(controller.components()))
                .build();
    }

    /** The port of the gRPC server; 0 if gRPC is not served. */
    int grpcPort() {
        return eventFeed.map(JobEventFeed::port).orElse(0);
    }

    /** Hands the leadership over if this controller leads, and stops. */
    public void shutDown() {
        handOver();
        stop();
    }

    /**
     * Hands the leadership over if this controller leads, and waits at most {@value
     * #SHUTDOWN_TIMEOUT_SECONDS} s for that. The sockets stay open, so that messages in flight
     * still arrive. Must not be called on the event loop.
     */
    public void handOver() {
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        worker.getIoThread().execute(() -> controller.shutDown(() -> handedOver.complete(null)));
        handedOver.completeOnTimeout(null, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /**
     * Stops without handing the leadership over: ends the event streams and waits for gRPC calls in
     * progress ({@link io.kelphoist.grpc.GrpcServer#close}), closes the HTTP sockets, exports the
     * pending spans and stops the event loop.
     */
    public void stop() {
        eventFeed.ifPresent(JobEventFeed::stop);
        server.stop();
        traceRecorder.ifPresent(JobTraceRecorder::close);
        worker.shutdownNow();
    }
}
