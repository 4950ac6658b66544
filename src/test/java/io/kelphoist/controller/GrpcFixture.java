package io.kelphoist.controller;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.net.HostAndPort;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.kelphoist.client.KelphoistClient;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.wire.MessageEncoding;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;

/** A local cluster whose controllers also serve gRPC, without TLS, and clients of its service. */
abstract class GrpcFixture extends LocalClusterFixture {
    private static final GrpcSettings GRPC_SETTINGS =
            GrpcSettings.builder(
                            HostAndPort.fromString("127.0.0.1:0"),
                            List.of(new GrpcSettings.CursorKey(1, new byte[32])))
                    .maxStreams(100)
                    .maxStreamsPerClient(80)
                    .maxBufferedEvents(64)
                    .maxRetainedEndedJobs(1000)
                    .stallTimeoutSeconds(60)
                    .submissionsPerSecondPerTeam(500)
                    .build();
    final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final List<KelphoistClient> clients = new ArrayList<>();

    @Override
    OperatorSettings operatorSettings() {
        return SHORT_TIMEOUTS.withGrpc(GRPC_SETTINGS);
    }

    @AfterEach
    void closeClients() {
        clients.forEach(KelphoistClient::close);
        channels.forEach(ManagedChannel::shutdownNow);
        executor.shutdownNow();
    }

    private String grpcAddress(int controller) {
        int port = controllers.get(controller).grpcPort();
        assertNotEquals(
                0, port, "gRPC port of controller " + controller + ", expected a gRPC server");
        return "127.0.0.1:" + port;
    }

    /** Returns a stub without retries, connected to a controller by its index. */
    SchedulerGrpc.SchedulerBlockingStub stub(int controller) {
        return SchedulerGrpc.newBlockingStub(channel(controller));
    }

    /** Opens a channel to a controller by its index; it is closed after the test. */
    ManagedChannel channel(int controller) {
        ManagedChannel channel =
                Grpc.newChannelBuilder(grpcAddress(controller), InsecureChannelCredentials.create())
                        .build();
        channels.add(channel);
        return channel;
    }

    /** Returns a client that tries the controllers in the given order. */
    KelphoistClient client(int... controllerIndexes) {
        List<String> addresses = new ArrayList<>();
        for (int index : controllerIndexes) {
            addresses.add(grpcAddress(index));
        }
        KelphoistClient client = new KelphoistClient(addresses);
        clients.add(client);
        return client;
    }

    /** Returns a job of team t. */
    static Job job(String id, Kind kind, int tasks) {
        return job(id, "t", kind, tasks);
    }

    /** Returns a request to watch jobs by their ids, without a cursor. */
    static WatchRequest watchJobs(String... jobs) {
        return WatchRequest.newBuilder().addAllJobs(List.of(jobs)).build();
    }

    /** Stores the end of job-91 directly, not through a controller. */
    void storeJobEnd() {
        stateStore.put(
                "j/job-91",
                MessageEncoding.newObject()
                        .put("status", "done")
                        .put("at", 5)
                        .put("team", "t")
                        .put("class", "c"));
    }
}
