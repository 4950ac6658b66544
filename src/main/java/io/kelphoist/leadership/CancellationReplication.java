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
 * Replicates the cancellations that users were told of from every controller to the leader, with
 * grant requests and their responses. The rules are in {@link ConfirmedCancellations} and {@link
 * CancellationWatermark}, both of which it owns.
 *
 * <p>Confined to the controller's event loop, except {@link #knownAgeSeconds} and {@link
 * #unacknowledgedCount}, which the metrics' thread calls.
 */
public final class CancellationReplication {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationReplication.class);

    /** Incarnations fit into the 53 bits that any JSON reader keeps. */
    private static final long INCARNATION_BOUND = 1L << 52;

    private final List<String> otherControllers;
    private final EventLoop loop;
    private final DoubleSupplier recordsReadUntilSeconds;
    private final ControllerCounters counters;
    private final ConfirmedCancellations confirmedCancellations;

    /** Of the term led here; empty while none is led or its records are not loaded. */
    private Optional<LoadedTerm> term = Optional.empty();

    /** The newest {@link #knownUntilSeconds} of the term led here; NaN while none is. */
    private volatile double lastKnownUntilSeconds = Double.NaN;

    /**
     * A term led here, whose records are loaded.
     *
     * @param listener receives known cancellations
     */
    private record LoadedTerm(CancellationWatermark watermark, Consumer<String> listener) {}

    /**
     * Creates the replication with no cancellation known.
     *
     * @param otherControllers names of all other controllers
     * @param recordsReadUntilSeconds the moment up to which all changes of jobs have been applied
     *     here, on the loop's clock
     */
    public CancellationReplication(
            Collection<String> otherControllers,
            EventLoop loop,
            DoubleSupplier recordsReadUntilSeconds,
            ControllerCounters counters,
            double startedAtSeconds) {
        this.otherControllers = List.copyOf(otherControllers);
        this.loop = loop;
        this.recordsReadUntilSeconds = recordsReadUntilSeconds;
        this.counters = counters;
        confirmedCancellations =
                new ConfirmedCancellations(
                        ThreadLocalRandom.current().nextLong(1, INCARNATION_BOUND),
                        startedAtSeconds);
    }

    /** A user is about to be told the status of a job: a cancellation is noted first. */
    public void beforeStatusReported(JobRecord job) {
        if (job.status() == JobStatus.CANCELLED) {
            confirmedCancellations.add(job.id(), loop.nowSeconds());
            term.ifPresent(current -> current.listener.accept(job.id()));
        }
    }

    // ---- as the leader ----

    /**
     * The records of a term led here are loaded. The listener receives at once what this controller
     * confirmed itself, and from now on every cancellation that becomes known.
     */
    void onRecordsLoaded(long termNumber, Consumer<String> listener) {
        term = Optional.of(new LoadedTerm(new CancellationWatermark(otherControllers), listener));
        confirmedCancellations.onTerm(termNumber);
        confirmedCancellations.jobIds().forEach(listener);
    }

    /** The term led here ended. */
    void onTermEnded() {
        term = Optional.empty();
        lastKnownUntilSeconds = Double.NaN;
    }

    /** Returns, for a grant request, what is known of that controller's confirmations. */
    Optional<Acknowledgement> acknowledgementFor(String peer) {
        return term.map(
                current ->
                        new Acknowledgement(
                                current.watermark.incarnation(peer),
                                current.watermark.acknowledgedSequenceNumber(peer)));
    }

    /** Applies the cancellations in a controller's response to a grant request. */
    void onGrantResponse(String peer, GrantResponse response, double sentAtSeconds) {
        if (term.isEmpty()) {
            return;
        }
        LoadedTerm current = term.get();
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
     * The moment, on the loop's clock, before which every cancellation that any user was told of is
     * known here and, while this controller leads, applied.
     */
    public double knownUntilSeconds() {
        if (term.isEmpty()) {
            return recordsReadUntilSeconds.getAsDouble();
        }
        CancellationWatermark watermark = term.get().watermark;
        watermark.onJobsRead(recordsReadUntilSeconds.getAsDouble());
        lastKnownUntilSeconds = watermark.knownUntilSeconds(loop.nowSeconds());
        return lastKnownUntilSeconds;
    }

    // ---- as another controller ----

    /** Returns, for the response to a leader's grant request, the statement for that leader. */
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

    /** Age of the newest {@link #knownUntilSeconds}; NaN while no term is led here. */
    public double knownAgeSeconds() {
        return loop.nowSeconds() - lastKnownUntilSeconds;
    }

    /** Number of confirmed cancellations that no leader has acknowledged. */
    public int unacknowledgedCount() {
        return confirmedCancellations.size();
    }
}
