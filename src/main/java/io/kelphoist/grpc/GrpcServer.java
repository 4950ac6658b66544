package io.kelphoist.grpc;

import io.grpc.Server;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.netty.shaded.io.netty.util.concurrent.DefaultThreadFactory;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.events.CursorSigner;
import io.kelphoist.events.EventBroker;
import io.kelphoist.events.EventBrokerLimits;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gRPC server of a controller. Owns its transport (one I/O thread for all connections), the
 * event broker and the health status. Calls run on the event thread, never on the controller's
 * event loop.
 */
public final class GrpcServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GrpcServer.class);

    /**
     * The logger of gRPC's transport. It logs a warning with a stack trace for each client that
     * disconnects during a response, so its level is raised to {@code SEVERE}.
     */
    private static final java.util.logging.Logger TRANSPORT_LOG =
            java.util.logging.Logger.getLogger(
                    "io.grpc.netty.shaded.io.grpc.netty.NettyServerHandler");

    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    private static final int MAX_METADATA_BYTES = 8 * 1024;
    private static final int FLOW_CONTROL_WINDOW_BYTES = 64 * 1024;
    private static final int TICK_INTERVAL_MILLIS = 1000;
    private static final int KEEP_ALIVE_SECONDS = 30;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 5;

    private static final double SECONDS_PER_NANO = 1e-9;

    /** The number of concurrent calls on one connection that are allowed besides its streams. */
    private static final int MAX_UNARY_CALLS_PER_CONNECTION = 100;

    private final EventBroker eventBroker;
    private final ScheduledExecutorService eventExecutor;
    private final EventLoopGroup socketEventLoop;
    private final Server server;
    private final HealthStatusManager health;
    private final Optional<TlsCredentials> credentials;

    private GrpcServer(
            EventBroker eventBroker,
            ScheduledExecutorService eventExecutor,
            EventLoopGroup socketEventLoop,
            Server server,
            HealthStatusManager health,
            Optional<TlsCredentials> credentials) {
        this.eventBroker = eventBroker;
        this.eventExecutor = eventExecutor;
        this.socketEventLoop = socketEventLoop;
        this.server = server;
        this.health = health;
        this.credentials = credentials;
    }

    /**
     * Creates a server that is not started yet.
     *
     * @param teams the names of all teams
     * @param eventExecutor the event thread, which owns the event broker and runs all calls and the
     *     backend's callbacks
     * @throws IOException if a TLS file can't be loaded
     */
    public static GrpcServer create(
            GrpcSettings settings,
            Set<String> teams,
            SchedulerBackend backend,
            ScheduledExecutorService eventExecutor)
            throws IOException {
        TRANSPORT_LOG.setLevel(java.util.logging.Level.SEVERE);
        EventBroker eventBroker =
                new EventBroker(brokerLimits(settings), backend::readAllJobs, eventExecutor);
        Optional<TlsCredentials> credentials =
                settings.tls().isPresent()
                        ? Optional.of(TlsCredentials.load(settings.tls().get()))
                        : Optional.empty();
        EventLoopGroup socketEventLoop = newSocketEventLoop();
        HealthStatusManager health = new HealthStatusManager();
        SchedulerService service =
                new SchedulerService(
                        backend,
                        new WatchStream.StreamContext(
                                eventBroker, cursorSigner(settings), GrpcServer::nowSeconds),
                        new SubmissionRateLimiter(
                                settings.submissionsPerSecondPerTeam(), Set.copyOf(teams)));
        Server server =
                builder(settings, credentials, socketEventLoop)
                        .executor(eventExecutor)
                        .addService(service)
                        .addService(health.getHealthService())
                        .addService(ProtoReflectionServiceV1.newInstance())
                        .build();
        return new GrpcServer(
                eventBroker, eventExecutor, socketEventLoop, server, health, credentials);
    }

    private static EventBrokerLimits brokerLimits(GrpcSettings settings) {
        return new EventBrokerLimits(
                settings.maxStreams(),
                settings.maxStreamsPerClient(),
                settings.maxBufferedEvents(),
                settings.maxRetainedEndedJobs(),
                settings.stallTimeoutSeconds());
    }

    private static CursorSigner cursorSigner(GrpcSettings settings) {
        return new CursorSigner(
                settings.cursorKeys().stream()
                        .map(key -> new CursorSigner.Key(key.id(), key.secret()))
                        .toList());
    }

    private static NettyServerBuilder builder(
            GrpcSettings settings,
            Optional<TlsCredentials> credentials,
            EventLoopGroup socketEventLoop) {
        InetSocketAddress address =
                new InetSocketAddress(
                        settings.listenAddress().getHost(), settings.listenAddress().getPort());
        NettyServerBuilder builder =
                credentials.isPresent()
                        ? NettyServerBuilder.forAddress(
                                address, credentials.get().serverCredentials())
                        : NettyServerBuilder.forAddress(address);
        return builder.bossEventLoopGroup(socketEventLoop)
                .workerEventLoopGroup(socketEventLoop)
                .channelType(NioServerSocketChannel.class)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .maxInboundMetadataSize(MAX_METADATA_BYTES)
                .flowControlWindow(FLOW_CONTROL_WINDOW_BYTES)
                .maxConcurrentCallsPerConnection(
                        settings.maxStreamsPerClient() + MAX_UNARY_CALLS_PER_CONNECTION)
                .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
                .permitKeepAliveTime(KEEP_ALIVE_SECONDS / 2, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .intercept(new ClientAuthorizer(settings.accessByClient()));
    }

    private static double nowSeconds() {
        return System.nanoTime() * SECONDS_PER_NANO;
    }

    /**
     * Returns an event loop group with one I/O thread. The class is deprecated, but its replacement
     * would load more classes for the same function.
     */
    @SuppressWarnings("deprecation")
    private static EventLoopGroup newSocketEventLoop() {
        return new NioEventLoopGroup(1, new DefaultThreadFactory("grpc", true));
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the server can't listen on its address
     */
    public void start() throws IOException {
        try {
            server.start();
        } catch (IOException e) {
            Future<?> unused = socketEventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
        health.setStatus(SchedulerGrpc.SERVICE_NAME, ServingStatus.SERVING);
        Future<?> unused =
                eventExecutor.scheduleAtFixedRate(
                        this::tick,
                        TICK_INTERVAL_MILLIS,
                        TICK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        LOG.info(
                "gRPC server started: addresses={} transport={}",
                server.getListenSockets(),
                credentials.isPresent() ? "TLS" : "plaintext");
    }

    private void tick() {
        try {
            eventBroker.tick(nowSeconds());
            credentials.ifPresent(TlsCredentials::reloadIfChanged);
        } catch (RuntimeException e) {
            LOG.error("unexpected error in the periodic task of the gRPC server", e);
        }
    }

    /** Returns the event broker. All its methods except the counters need the event thread. */
    public EventBroker eventBroker() {
        return eventBroker;
    }

    /** Returns the port that the server listens on. May be called on any thread after the start. */
    public int port() {
        return server.getPort();
    }

    /**
     * Ends all streams, each with a cursor to resume from at another controller, and waits at most
     * {@value #SHUTDOWN_TIMEOUT_SECONDS} s for other calls to complete. Blocks; must not be called
     * on the event thread.
     */
    @Override
    public void close() {
        health.enterTerminalState();
        server.shutdown();
        eventExecutor.execute(eventBroker::drain);
        try {
            if (!server.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException e) {
            server.shutdownNow();
            Thread.currentThread().interrupt();
        }
        Future<?> unused = socketEventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
