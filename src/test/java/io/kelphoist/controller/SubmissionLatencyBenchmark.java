package io.kelphoist.controller;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.kelphoist.config.OperatorSettings;
import io.kelphoist.emulator.LocalEnvironment;
import io.kelphoist.grpc.v1.Job;
import io.kelphoist.grpc.v1.Kind;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.SubmitRequest;
import io.kelphoist.grpc.v1.WatchRequest;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/** Measures the latency of submissions over gRPC while a number of watch streams is open. */
final class SubmissionLatencyBenchmark {
    private static final int SUBMISSIONS = 500;
    private static final int WARM_UP_SUBMISSIONS = 100;
    private static final int WATCH_CHANNELS = 8;
    private static final long SUBMISSION_INTERVAL_MILLIS = 10;
    private static final long RETRY_DELAY_MILLIS = 100;

    private SubmissionLatencyBenchmark() {}

    /**
     * Submits jobs to one of two controllers and prints the latency of the submissions.
     *
     * @param streams number of streams at that controller, which watch all jobs
     */
    static void run(int streams) throws Exception {
        OperatorSettings operator =
                LocalClusterFixture.SHORT_TIMEOUTS.withGrpc(WatchStreamClients.SETTINGS);
        try (LocalEnvironment environment =
                new LocalEnvironment(
                        Files.createTempDirectory("measure"),
                        /* controllerCount= */ 2,
                        /* taskMillis= */ 0)) {
            ControllerProcess other = start(environment, /* controller= */ 1, operator);
            ControllerProcess measured = start(environment, /* controller= */ 0, operator);
            List<ManagedChannel> channels =
                    WatchStreamClients.openChannels(measured.grpcPort(), WATCH_CHANNELS + 1);
            AtomicLong received = new AtomicLong();
            SchedulerGrpc.SchedulerBlockingStub stub =
                    SchedulerGrpc.newBlockingStub(channels.get(WATCH_CHANNELS)).withWaitForReady();
            openStreams(streams, channels, received);
            Histogram latencyMicros = measure(stub);
            System.out.printf(
                    "submissions beside %d streams: p50 %.2f p99 %.2f max %.2f ms;"
                            + " %d events received%n",
                    streams,
                    latencyMicros.getValueAtPercentile(50) / 1e3,
                    latencyMicros.getValueAtPercentile(99) / 1e3,
                    latencyMicros.getMaxValue() / 1e3,
                    received.get());
            channels.forEach(ManagedChannel::shutdownNow);
            measured.stop();
            other.stop();
        }
    }

    private static ControllerProcess start(
            LocalEnvironment environment, int controller, OperatorSettings operator)
            throws Exception {
        return ControllerProcess.start(
                environment.settings().get(controller), operator, System.nanoTime() * 1e-9);
    }

    private static void openStreams(
            int streams, List<ManagedChannel> channels, AtomicLong received) {
        for (int i = 0; i < streams; i++) {
            SchedulerGrpc.newStub(channels.get(i % WATCH_CHANNELS))
                    .withWaitForReady()
                    .watch(
                            WatchRequest.getDefaultInstance(),
                            new WatchStreamClients.Receiver(
                                    received, /* latencyMicros= */ null, /* reads= */ true));
        }
    }

    private static Histogram measure(SchedulerGrpc.SchedulerBlockingStub stub) throws Exception {
        Histogram latencyMicros = new Histogram(/* numberOfSignificantValueDigits= */ 3);
        int accepted = 0;
        while (accepted < SUBMISSIONS) {
            Job job = LocalClusterFixture.job("job-1" + accepted, "t", Kind.KIND_ARRAY, 1);
            long startNanos = System.nanoTime();
            if (!submit(stub, job)) {
                Thread.sleep(RETRY_DELAY_MILLIS);
                continue;
            }
            if (accepted >= WARM_UP_SUBMISSIONS) {
                latencyMicros.recordValue((System.nanoTime() - startNanos) / 1000);
            }
            accepted++;
            Thread.sleep(SUBMISSION_INTERVAL_MILLIS);
        }
        return latencyMicros;
    }

    /** Returns false if the controller is unavailable, so that the job must be submitted again. */
    private static boolean submit(SchedulerGrpc.SchedulerBlockingStub stub, Job job) {
        try {
            stub.submit(SubmitRequest.newBuilder().setJob(job).build());
            return true;
        } catch (StatusRuntimeException e) {
            if (e.getStatus().getCode() != Status.Code.UNAVAILABLE) {
                throw e;
            }
            return false;
        }
    }
}
