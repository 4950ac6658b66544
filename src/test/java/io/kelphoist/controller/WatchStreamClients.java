package io.kelphoist.controller;

import com.google.common.net.HostAndPort;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.kelphoist.config.GrpcSettings;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.grpc.v1.WatchResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** Server settings and clients that the benchmarks of watch streams share. */
final class WatchStreamClients {
    static final GrpcSettings SETTINGS =
            GrpcSettings.builder(
                            HostAndPort.fromString("127.0.0.1:0"),
                            List.of(new GrpcSettings.CursorKey(1, new byte[32])))
                    .maxStreams(2000)
                    .maxStreamsPerClient(2000)
                    .maxBufferedEvents(256)
                    .maxRetainedEndedJobs(20_000)
                    .stallTimeoutSeconds(600)
                    .submissionsPerSecondPerTeam(100_000)
                    .build();

    private WatchStreamClients() {}

    /** Opens connections to a gRPC server on loopback. */
    static List<ManagedChannel> openChannels(int port, int count) {
        List<ManagedChannel> channels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            channels.add(
                    Grpc.newChannelBuilder("127.0.0.1:" + port, InsecureChannelCredentials.create())
                            .build());
        }
        return channels;
    }

    /** Counts the messages of a stream and records their latency. */
    static final class Receiver implements ClientResponseObserver<WatchRequest, WatchResponse> {
        private final AtomicLong received;
        private final ConcurrentHistogram latencyMicros;
        private final boolean reads;

        /**
         * Creates a receiver for one stream.
         *
         * @param latencyMicros receives the latency of each event; null if it is not recorded
         * @param reads whether the receiver reads all messages; otherwise it requests only one
         */
        Receiver(AtomicLong received, ConcurrentHistogram latencyMicros, boolean reads) {
            this.received = received;
            this.latencyMicros = latencyMicros;
            this.reads = reads;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<WatchRequest> call) {
            if (!reads) {
                call.disableAutoRequestWithInitial(1);
            }
        }

        @Override
        public void onNext(WatchResponse message) {
            received.incrementAndGet();
            if (latencyMicros != null && !message.getEvent().hasAccepted()) {
                // The benchmark sets this field to the time of sending in microseconds.
                long sentMicros = message.getEvent().getAtMs();
                latencyMicros.recordValue(Math.max(0, System.nanoTime() / 1000 - sentMicros));
            }
        }

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {}
    }
}
