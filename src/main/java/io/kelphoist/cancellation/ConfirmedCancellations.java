package io.kelphoist.cancellation;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The cancellations that this controller has confirmed, that is, acknowledged to users. Each is
 * added before the response to the user is sent, and kept until the leader has acknowledged it. A
 * leader that cannot reach the state store receives them only from this list. The list is bounded;
 * a statement does not cover entries that were dropped from it.
 *
 * <p>Owns the list. Performs no I/O: events and the time (this process's monotonic clock, in
 * seconds) are passed in. Confined to the controller's event loop.
 */
public final class ConfirmedCancellations {
    /**
     * A controller's statement to the leader. It contains all cancellations that the controller
     * confirmed within the last {@code coveredSeconds} and that the leader has not acknowledged.
     *
     * @param incarnation identifies the process of the controller
     * @param coveredSeconds length of the covered time, measured by the controller's own clock
     * @param lastSequenceNumber sequence number of the newest of {@code jobIds}, which the leader
     *     acknowledges; if there are none, the number up to which the leader has acknowledged
     * @param complete false if the list holds more cancellations than the statement, so that the
     *     statement covers no time, whatever {@code coveredSeconds} is
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

    /** An entry of the list: when the cancellation of a job was confirmed. */
    private record Confirmation(long sequenceNumber, double confirmedAtSeconds) {}

    /**
     * Maximum length of the list; the oldest entries are dropped. It suffices for many users who
     * cancel jobs during a long outage.
     */
    public static final int MAX_ENTRIES = 4000;

    /** Maximum number of entries in one statement, which is then about 20 KB. */
    static final int MAX_STATEMENT_ENTRIES = 1000;

    private final long incarnation;

    /** The entries by job id, oldest first. */
    private final Map<String, Confirmation> confirmations = new LinkedHashMap<>();

    private long lastSequenceNumber;
    private long newestTerm;

    /**
     * All cancellations confirmed since this time are in the list or were acknowledged by the
     * leader of the newest term.
     */
    private double completeSinceSeconds;

    /** When the newest of the entries that were removed after an acknowledgement was confirmed. */
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

    /**
     * Adds a cancellation that is about to be acknowledged to a user. Has no effect if the job is
     * in the list already.
     */
    public void add(String jobId, double nowSeconds) {
        if (confirmations.containsKey(jobId)) {
            return;
        }
        confirmations.put(jobId, new Confirmation(++lastSequenceNumber, nowSeconds));
        if (confirmations.size() > MAX_ENTRIES) {
            completeSinceSeconds = Math.max(completeSinceSeconds, removeOldest());
        }
    }

    /** Removes the oldest entry and returns when it was confirmed. */
    private double removeOldest() {
        Iterator<Confirmation> iterator = confirmations.values().iterator();
        double confirmedAtSeconds = iterator.next().confirmedAtSeconds;
        iterator.remove();
        return confirmedAtSeconds;
    }

    /**
     * This controller received a message of this term or leads it. If the term is newer than all
     * earlier ones, statements no longer cover the cancellations that earlier leaders acknowledged:
     * such a leader may have failed before it replicated them to its successor.
     */
    public void onTermObserved(long term) {
        if (term > newestTerm) {
            newestTerm = term;
            completeSinceSeconds = Math.max(completeSinceSeconds, newestAcknowledgedAtSeconds);
        }
    }

    /**
     * Removes the entries that the leader of a term has acknowledged, and returns the statement for
     * that leader; empty if a newer term was seen.
     *
     * @param acknowledgedIncarnation the process to which the acknowledgement applies
     * @param acknowledgedSequenceNumber the sequence number up to which the leader has received
     *     that process's confirmations
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
        // A sequence number of another process acknowledges nothing. One that is not assigned yet
        // acknowledges only what has been confirmed so far.
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

    /** Returns the ids of all jobs in the list, oldest confirmation first. */
    public List<String> jobIds() {
        return List.copyOf(confirmations.keySet());
    }

    /**
     * Returns the length of the list: the number of confirmed cancellations that no leader has
     * acknowledged, without those that were dropped from the list.
     */
    public int size() {
        return confirmations.size();
    }
}
