package io.kelphoist.cancellation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The cancellations that this controller has confirmed to users, added before the user is told and
 * kept until the leader has acknowledged them. A leader that can't reach the state store learns of
 * them only from here. The list is bounded; a statement does not cover what was dropped from it.
 *
 * <p>Owns the list. Performs no I/O: events and the time (this process's monotonic clock, in
 * seconds) are passed in. Confined to the controller's event loop.
 */
public final class ConfirmedCancellations {
    /**
     * A controller's statement to the leader: all cancellations that it confirmed within the last
     * {@code coveredSeconds} and that the leader has not acknowledged.
     *
     * @param incarnation identifies the process of the controller
     * @param coveredSeconds length of the covered time by the controller's own clock
     * @param lastSequenceNumber sequence number of the newest of {@code jobIds}, to be acknowledged
     * @param complete false if there are more cancellations than these, so that nothing is covered
     * @param jobIds the cancelled jobs, oldest confirmation first
     */
    public record Statement(
            long incarnation,
            double coveredSeconds,
            long lastSequenceNumber,
            boolean complete,
            List<String> jobIds) {
        /** Copies the list. */
        public Statement {
            jobIds = List.copyOf(jobIds);
        }
    }

    private record Confirmation(long sequenceNumber, double confirmedAtSeconds) {}

    /** Enough for many users that cancel during a long outage; older entries are dropped. */
    public static final int MAX_ENTRIES = 4000;

    /** Entries of one statement, which is then about 20 KB. */
    static final int MAX_STATEMENT_ENTRIES = 1000;

    private final long incarnation;

    /** By job, the oldest first. */
    private final Map<String, Confirmation> confirmations = new LinkedHashMap<>();

    private long lastSequenceNumber;
    private long newestTerm;

    /**
     * All cancellations confirmed since then are in the list or were acknowledged by the leader of
     * the newest term.
     */
    private double completeSinceSeconds;

    /** When the newest of the entries that were removed on acknowledgement was confirmed. */
    private double newestAcknowledgedAtSeconds;

    /**
     * Creates an empty list that covers the time from now on.
     *
     * @param incarnation unique among all processes of this controller
     * @param nowSeconds when this process started
     */
    public ConfirmedCancellations(long incarnation, double nowSeconds) {
        this.incarnation = incarnation;
        this.completeSinceSeconds = nowSeconds;
        this.newestAcknowledgedAtSeconds = nowSeconds;
    }

    /** A user is about to be told that this job is cancelled; repetitions have no effect. */
    public void add(String jobId, double nowSeconds) {
        if (confirmations.containsKey(jobId)) {
            return;
        }
        confirmations.put(jobId, new Confirmation(++lastSequenceNumber, nowSeconds));
        if (confirmations.size() > MAX_ENTRIES) {
            completeSinceSeconds = Math.max(completeSinceSeconds, removeOldest());
        }
    }

    /** Returns when the removed entry was confirmed. */
    private double removeOldest() {
        Iterator<Confirmation> iterator = confirmations.values().iterator();
        double confirmedAtSeconds = iterator.next().confirmedAtSeconds;
        iterator.remove();
        return confirmedAtSeconds;
    }

    /**
     * A term exists. The leader of an older term may have failed before it passed on what it
     * acknowledged, so statements to a newer leader do not cover that.
     */
    public void onTermObserved(long term) {
        if (term > newestTerm) {
            newestTerm = term;
            completeSinceSeconds = Math.max(completeSinceSeconds, newestAcknowledgedAtSeconds);
        }
    }

    /**
     * Removes what the leader of a term has acknowledged and returns the statement for it; empty if
     * a newer term is known.
     *
     * @param acknowledgedIncarnation the process that the acknowledgement is about
     * @param acknowledgedSequenceNumber up to where the leader knows that process's confirmations
     */
    public Optional<Statement> statementFor(
            long leaderTerm,
            long acknowledgedIncarnation,
            long acknowledgedSequenceNumber,
            double nowSeconds) {
        onTermObserved(leaderTerm);
        if (leaderTerm < newestTerm) {
            return Optional.empty();
        }
        // Numbers of another process, and numbers not yet assigned, mean nothing here.
        long acknowledgedHere =
                acknowledgedIncarnation == incarnation
                        ? Math.min(acknowledgedSequenceNumber, lastSequenceNumber)
                        : 0;
        removeAcknowledged(acknowledgedHere);
        return Optional.of(newStatement(acknowledgedHere, nowSeconds));
    }

    private void removeAcknowledged(long acknowledgedSequenceNumber) {
        while (!confirmations.isEmpty()
                && confirmations.values().iterator().next().sequenceNumber
                        <= acknowledgedSequenceNumber) {
            newestAcknowledgedAtSeconds = Math.max(newestAcknowledgedAtSeconds, removeOldest());
        }
    }

    private Statement newStatement(long acknowledgedSequenceNumber, double nowSeconds) {
        List<String> jobIds = new ArrayList<>();
        long newestSequenceNumber = acknowledgedSequenceNumber;
        for (Map.Entry<String, Confirmation> entry : confirmations.entrySet()) {
            if (jobIds.size() == MAX_STATEMENT_ENTRIES) {
                break;
            }
            jobIds.add(entry.getKey());
            newestSequenceNumber = entry.getValue().sequenceNumber;
        }
        return new Statement(
                incarnation,
                nowSeconds - completeSinceSeconds,
                newestSequenceNumber,
                jobIds.size() == confirmations.size(),
                jobIds);
    }

    /** All jobs in the list, the oldest confirmation first. */
    public List<String> jobIds() {
        return List.copyOf(confirmations.keySet());
    }

    /** Number of confirmed cancellations that no leader has acknowledged. */
    public int size() {
        return confirmations.size();
    }
}
