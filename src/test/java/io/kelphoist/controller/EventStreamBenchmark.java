package io.kelphoist.controller;

import io.grpc.ManagedChannel;
import io.kelphoist.admission.AdmissionResult;
import io.kelphoist.events.EventBroker;
import io.kelphoist.events.JobEventType;
import io.kelphoist.events.TransientEvent;
import io.kelphoist.grpc.GrpcServer;
import io.kelphoist.grpc.SchedulerBackend;
import io.kelphoist.grpc.v1.SchedulerGrpc;
import io.kelphoist.grpc.v1.WatchRequest;
import io.kelphoist.model.JobOwner;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobSpec;
import io.kelphoist.model.JobStatus;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures throughput, CPU time, memory and latency of watch streams by their number. This is a
 * program that is run by hand, not a test; its figures are in docs/EVENTS.md.
 */
final class EventStreamBenchmark {
    private static final int JOBS = 50;
    private static final double RUN_SECONDS = 4;
    private static final long EVENT_INTERVAL_NANOS = 10_000_000;
    private static final int MAX_READING_CHANNELS = 8;

    private final int streams;
    private final boolean saturate;
    private final int stalledStreams;
    private final ScheduledExecutorService eventThread =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "events"));
    private final AtomicLong received = new AtomicLong();
    private final ConcurrentHistogram latencyMicros =
            new ConcurrentHistogram(/* numberOfSignificantValueDigits= */ 3);
    private GrpcServer server;
    private long sent;

    /**
     * Creates one run of the benchmark.
     *
     * @param streams number of streams that read all messages
     * @param saturate true: events are sent as fast as the streams receive them; false: one event
     *     every 10 ms
     * @param stalledStreams number of further streams that read one message and no more
     */
    private EventStreamBenchmark(int streams, boolean saturate, int stalledStreams) {
        this.streams = streams;
        this.saturate = saturate;
        this.stalledStreams = stalledStreams;
    }

    /** A backend that ignores all requests. */
    private static final class NoOpBackend implements SchedulerBackend {
        @Override
        public void rejectMalformed(
                String job, String reason, Consumer<AdmissionResult> callback) {}

        @Override
        public void submit(JobSpec job, Consumer<AdmissionResult> callback) {}

        @Override
        public void query(String job, Consumer<AdmissionResult> callback) {}

        @Override
        public void cancel(String job, Consumer<AdmissionResult> callback) {}

        @Override
        public void readAllJobs(Consumer<EventBroker.Snapshot> callback) {}
    }

    private static double serverCpuSeconds() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double seconds = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && isServerThread(info.getThreadName())) {
                seconds += threads.getThreadCpuTime(id) * 1e-9;
            }
        }
        return seconds;
    }

    private static boolean isServerThread(String name) {
        return name.startsWith("events") || name.startsWith("grpc-");
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void run() throws Exception {
        startServer();
        long heapBefore = usedHeapBytes();
        List<ManagedChannel> channels =
                WatchStreamClients.openChannels(
                        server.port(), Math.min(streams, MAX_READING_CHANNELS) + 1);
        openStreams(channels);
        while (received.get() < (long) streams * JOBS) {
            Thread.onSpinWait();
        }
        long bytesPerStream = (usedHeapBytes() - heapBefore) / (streams + stalledStreams);
        double cpuBefore = serverCpuSeconds();
        long startNanos = System.nanoTime();
        received.set(0);
        sendEvents(startNanos);
        double seconds = (System.nanoTime() - startNanos) * 1e-9;
        print(seconds, serverCpuSeconds() - cpuBefore, bytesPerStream);
        channels.forEach(ManagedChannel::shutdownNow);
        server.close();
        eventThread.shutdown();
    }

    private void startServer() throws Exception {
        server =
                GrpcServer.create(
                        WatchStreamClients.SETTINGS, Set.of("t"), new NoOpBackend(), eventThread);
        server.start();
        List<JobRecord> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            JobOwner owner = new JobOwner("t", "c");
            jobs.add(
                    new JobRecord(
                            "job-" + i,
                            /* spec= */ null,
                            JobStatus.ACTIVE,
                            /* timestampMillis= */ 0,
                            i + 1,
                            owner));
        }
        eventThread
                .submit(
                        () ->
                                server.eventBroker()
                                        .onRecordsChanged(JOBS, jobs, /* nowSeconds= */ 0))
                .get();
    }

    /** Opens all streams: stalled ones share the last channel, others use the remaining ones. */
    private void openStreams(List<ManagedChannel> channels) {
        int stalledChannel = channels.size() - 1;
        for (int i = 0; i < streams + stalledStreams; i++) {
            boolean reads = i < streams;
            SchedulerGrpc.newStub(channels.get(reads ? i % stalledChannel : stalledChannel))
                    .watch(
                            WatchRequest.getDefaultInstance(),
                            new WatchStreamClients.Receiver(
                                    reads ? received : new AtomicLong(),
                                    saturate ? null : latencyMicros,
                                    reads));
        }
    }

    private void sendEvents(long startNanos) throws Exception {
        int batchSize = saturate ? Math.max(1, Math.min(100, 2000 / streams)) : 1;
        while (System.nanoTime() - startNanos < RUN_SECONDS * 1e9) {
            List<TransientEvent> batch = nextBatch(batchSize);
            eventThread
                    .submit(
                            () ->
                                    server.eventBroker()
                                            .onTransientEvents(batch, System.nanoTime() * 1e-9))
                    .get();
            if (saturate) {
                awaitDelivery(startNanos);
            } else {
                TimeUnit.NANOSECONDS.sleep(EVENT_INTERVAL_NANOS);
            }
        }
    }

    /** Returns events whose time is the current one, but in microseconds of the monotonic clock. */
    private List<TransientEvent> nextBatch(int size) {
        List<TransientEvent> batch = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String job = "job-" + (sent++ % JOBS);
            JobEventType started = new JobEventType.Started(1, "vm-000001");
            batch.add(
                    new TransientEvent(
                            job,
                            started,
                            /* doneTasks= */ 1,
                            /* runningTasks= */ 2,
                            System.nanoTime() / 1000));
        }
        return batch;
    }

    /** Waits until all streams have received all sent events, or until the end of the run. */
    private void awaitDelivery(long startNanos) {
        while (received.get() < sent * streams
                && System.nanoTime() - startNanos < RUN_SECONDS * 1e9) {
            Thread.onSpinWait();
        }
    }

    private void print(double seconds, double cpuSeconds, long bytesPerStream) {
        System.out.printf(
                "%5d streams%s: %8.0f events/s received, %5.1f us of CPU time each,"
                        + " %4.1f KB of heap per stream (both ends)",
                streams,
                stalledStreams > 0 ? " and " + stalledStreams + " stalled" : "",
                received.get() / seconds,
                cpuSeconds * 1e6 / received.get(),
                bytesPerStream / 1024.0);
        if (!saturate) {
            System.out.printf(
                    ", latency p50 %.2f p99 %.2f max %.2f ms",
                    latencyMicros.getValueAtPercentile(50) / 1e3,
                    latencyMicros.getValueAtPercentile(99) / 1e3,
                    latencyMicros.getMaxValue() / 1e3);
        }
        System.out.println();
    }

    /** Runs both benchmarks; with any argument only that of the submission latency. */
    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            measureStreams();
        }
        SubmissionLatencyBenchmark.run(0);
        SubmissionLatencyBenchmark.run(1000);
        System.exit(0);
    }

    private static void measureStreams() throws Exception {
        new EventStreamBenchmark(10, /* saturate= */ true, /* stalledStreams= */ 0).run();
        System.out.println("-- warmed up --");
        for (int streams : new int[] {1, 10, 100, 1000}) {
            new EventStreamBenchmark(streams, /* saturate= */ true, /* stalledStreams= */ 0).run();
        }
        new EventStreamBenchmark(50, /* saturate= */ false, /* stalledStreams= */ 0).run();
        new EventStreamBenchmark(50, /* saturate= */ false, /* stalledStreams= */ 1).run();
        new EventStreamBenchmark(1000, /* saturate= */ false, /* stalledStreams= */ 0).run();
    }
}
