package io.kelphoist.leadership;

import io.kelphoist.cancellation.CancellationWatermark;
import io.kelphoist.cancellation.ConfirmedCancellations;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.metrics.ControllerCounters;
import io.kelphoist.model.JobRecord;
import io.kelphoist.model.JobStatus;
import io.kelphoist.peer.CancellationCodec.Acknowledgement;
import io.kelphoist.peer.CancellationReport;
import io.kelphoist.peer.GrantRequest;
import io.kelphoist.peer.GrantResponse;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replicates confirmed cancellations, those that were acknowledged to users, from every controller
 * to the leader. Each controller states them in its responses to grant requests, and the leader
 * acknowledges them in later requests. The rules are in {@link ConfirmedCancellations} and {@link
 * CancellationWatermark}, both of which this class owns.
 *
 * <p>Confined to the controller's event loop, except {@link #watermarkAgeSeconds} and {@link
 * #unacknowledgedCount}, which the metrics thread calls.
 */
public final class CancellationReplication {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationReplication.class);

    /** Incarnations must fit into the 53 bits that any JSON reader preserves. */
    private static final long INCARNATION_BOUND = 1L << 52;

    private final List<String> otherControllers;
    private final EventLoop loop;
    private final DoubleSupplier jobsCurrentAsOfSeconds;
    private final ControllerCounters counters;
    private final ConfirmedCancellations confirmedCancellations;

    /** The term led here; empty while no term is led here or its records are not loaded. */
    private Optional<LoadedTerm> loadedTerm = Optional.empty();

    /**
     * The last {@link #watermarkSeconds} of the term led here; NaN while no term is led here or its
     * records are not loaded.
     */
    private volatile double lastWatermarkSeconds = Double.NaN;

    /**
     * A term led here, whose records are loaded.
     *
     * @param listener receives the id of each cancelled job, perhaps repeatedly
     */
    private record LoadedTerm(CancellationWatermark watermark, Consumer<String> listener) {}

    /**
     * Creates the replication without any cancellation.
     *
     * @param otherControllers names of all other controllers
     * @param jobsCurrentAsOfSeconds the moment up to which all stored changes of jobs have been
     *     applied here, on the loop's clock
     * @param startedAtSeconds when this process started, on the loop's clock
     */
    public CancellationReplication(
            Collection<String> otherControllers,
            EventLoop loop,
            DoubleSupplier jobsCurrentAsOfSeconds,
            ControllerCounters counters,
            double startedAtSeconds) {
        this.otherControllers = List.copyOf(otherControllers);
        this.loop = loop;
        this.jobsCurrentAsOfSeconds = jobsCurrentAsOfSeconds;
        this.counters = counters;
        confirmedCancellations =
                new ConfirmedCancellations(
                        ThreadLocalRandom.current().nextLong(1, INCARNATION_BOUND),
                        startedAtSeconds);
    }

    /**
     * Called before the status of a job is reported to a user. If the job is cancelled, records the
     * cancellation as confirmed, and applies it at once if a term with loaded records is led here.
     */
    public void beforeStatusReported(JobRecord job) {
        if (job.status() == JobStatus.CANCELLED) {
            confirmedCancellations.add(job.id(), loop.nowSeconds());
            loadedTerm.ifPresent(current -> current.listener.accept(job.id()));
        }
    }

    // ---- as the leader ----

    /**
     * Starts the replication for a term led here, whose records are loaded. The listener receives
     * at once the cancellations that this controller has confirmed itself, and from now on every
     * cancellation that this controller confirms or another one states.
     */
    void onRecordsLoaded(long termNumber, Consumer<String> listener) {
        loadedTerm =
                Optional.of(new LoadedTerm(new CancellationWatermark(otherControllers), listener));
        confirmedCancellations.onTermObserved(termNumber);
        confirmedCancellations.jobIds().forEach(listener);
    }

    /** The term led here has ended. */
    void onTermEnded() {
        loadedTerm = Optional.empty();
        lastWatermarkSeconds = Double.NaN;
    }

    /**
     * Returns, for a grant request to a peer, up to which sequence number the cancellations that
     * the peer has confirmed have been received; empty while no term with loaded records is led
     * here.
     */
    Optional<Acknowledgement> acknowledgementFor(String peer) {
        return loadedTerm.map(
                current ->
                        new Acknowledgement(
                                current.watermark.incarnation(peer),
                                current.watermark.acknowledgedSequenceNumber(peer)));
    }

    /**
     * Applies the cancellations that a peer states in its response to a grant request.
     *
     * @param sentAtSeconds when the request was sent, on the loop's clock
     */
    void onGrantResponse(String peer, GrantResponse response, double sentAtSeconds) {
        if (loadedTerm.isEmpty()) {
            return;
        }
        LoadedTerm current = loadedTerm.get();
        if (response.cancellations() instanceof CancellationReport.Present stated) {
            stated.statement().jobIds().forEach(current.listener);
            current.watermark.onStatement(
                    peer, stated.statement(), sentAtSeconds, loop.nowSeconds());
        } else if (response.cancellations() instanceof CancellationReport.Malformed malformed) {
            counters.onMalformedMessage();
            LOG.debug(
                    "malformed cancellation statement: peer={} error={}", peer, malformed.reason());
        }
    }

    /**
     * The watermark: every cancellation that any controller confirmed to a user before this moment,
     * on the loop's clock, has been received here. While a term with loaded records is led here,
     * these cancellations have also been applied to the scheduler. While none is, the watermark is
     * the moment up to which all stored changes of jobs have been applied to the replica; negative
     * infinity before the first read of the jobs.
     */
    public double watermarkSeconds() {
        if (loadedTerm.isEmpty()) {
            return jobsCurrentAsOfSeconds.getAsDouble();
        }
        CancellationWatermark watermark = loadedTerm.get().watermark;
        watermark.onJobsRead(jobsCurrentAsOfSeconds.getAsDouble());
        lastWatermarkSeconds = watermark.watermarkSeconds(loop.nowSeconds());
        return lastWatermarkSeconds;
    }

    // ---- as a follower ----

    /**
     * Returns, for the response to a leader's grant request, the statement of the cancellations
     * that this controller has confirmed and that leader has not acknowledged; absent if the
     * request has no acknowledgement, or if this controller has seen a newer term.
     */
    CancellationReport onGrantRequest(GrantRequest request) {
        return request.state()
                .acknowledgedCancellations()
                .flatMap(acknowledged -> statementFor(request.term(), acknowledged))
                .<CancellationReport>map(CancellationReport.Present::new)
                .orElse(CancellationReport.ABSENT);
    }

    private Optional<ConfirmedCancellations.Statement> statementFor(
            long requestedTerm, Acknowledgement acknowledged) {
        return confirmedCancellations.statementFor(
                requestedTerm,
                acknowledged.incarnation(),
                acknowledged.upToSequence(),
                loop.nowSeconds());
    }

    // ---- for the metrics ----

    /**
     * Age of the last {@link #watermarkSeconds} in seconds; NaN while no term is led here or its
     * records are not loaded.
     */
    public double watermarkAgeSeconds() {
        return loop.nowSeconds() - lastWatermarkSeconds;
    }

    /** Number of confirmed cancellations that no leader has acknowledged. */
    public int unacknowledgedCount() {
        return confirmedCancellations.size();
    }
}
