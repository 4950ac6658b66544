package io.kelphoist.election;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The part of the state store that elections use: leases, the leader key and the term key. */
final class SimulatedElectionStore {
    static final double LEASE_SECONDS = 3;

    /**
     * The value of a leadership key.
     *
     * @param leaseId the lease that the key is bound to; 0 if it has none
     */
    record Key(String controller, long term, long leaseId, long revision) {}

    /**
     * Both leadership keys at one revision.
     *
     * @param leader the leader key; null if it is absent
     * @param term the term key; null if it is absent
     */
    record Snapshot(Key leader, Key term, long revision) {
        long lastTerm() {
            return term == null ? 0 : term.term();
        }

        long termVersion() {
            return term == null ? 0 : term.revision();
        }

        boolean isHeldBy(String controller) {
            return leader != null && leader.controller().equals(controller);
        }
    }

    private final SimulatedTimeline timeline;
    private final Random random;
    private final ElectionSimulation.Listener listener;
    private final Runnable onKeysChanged;
    private final Map<Long, Double> leaseExpiries = new HashMap<>();
    private long lastLeaseId;
    private long revision = 10;
    private Key leader;
    private Key term;
    private boolean unavailable;
    private int delayedTransactionsPerTen;
    private int lostResponsesPerTen;

    SimulatedElectionStore(
            SimulatedTimeline timeline,
            Random random,
            ElectionSimulation.Listener listener,
            Runnable onKeysChanged) {
        this.timeline = timeline;
        this.random = random;
        this.listener = listener;
        this.onKeysChanged = onKeysChanged;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    /** Starts or ends an outage. When it ends, each lease gets its full duration again. */
    void setUnavailable(boolean unavailable) {
        if (this.unavailable && !unavailable) {
            leaseExpiries.replaceAll((leaseId, expiry) -> timeline.nowSeconds() + LEASE_SECONDS);
        }
        this.unavailable = unavailable;
    }

    void setDelayedTransactions(int perTen) {
        delayedTransactionsPerTen = perTen;
    }

    void setLostResponses(int perTen) {
        lostResponsesPerTen = perTen;
    }

    boolean drawDelayedTransaction() {
        return random.nextInt(10) < delayedTransactionsPerTen;
    }

    boolean drawLostResponse() {
        return random.nextInt(10) < lostResponsesPerTen;
    }

    Snapshot read() {
        return new Snapshot(leader, term, revision);
    }

    long grantLease() {
        leaseExpiries.put(++lastLeaseId, timeline.nowSeconds() + LEASE_SECONDS);
        return lastLeaseId;
    }

    /** Returns false if the lease has expired or was revoked. */
    boolean renewLease(long leaseId) {
        return leaseExpiries.computeIfPresent(
                        leaseId, (id, expiry) -> timeline.nowSeconds() + LEASE_SECONDS)
                != null;
    }

    /**
     * Removes a lease that has expired or is revoked, and deletes the leader key if it is bound to
     * it.
     */
    void removeLease(long leaseId) {
        boolean existed = leaseExpiries.remove(leaseId) != null;
        if (existed && leader != null && leader.leaseId() == leaseId) {
            leader = null;
            revision++;
            onKeysChanged.run();
        }
    }

    /**
     * Removes expired leases, each up to 100 ms late but never early. Leases do not expire during
     * an outage.
     */
    void expireLeases(double stepSeconds) {
        if (unavailable) {
            return;
        }
        for (Map.Entry<Long, Double> lease : List.copyOf(leaseExpiries.entrySet())) {
            if (timeline.nowSeconds() > lease.getValue() + random.nextInt(3) * stepSeconds) {
                removeLease(lease.getKey());
            }
        }
    }

    /**
     * Runs the transaction that acquires the leader key for the term after {@code lastTerm}. It is
     * rejected if the lease has expired, if the leader key exists, or if the term key has another
     * version than {@code termVersion}.
     *
     * @return the revision of the transaction; 0 if it was rejected
     */
    long acquire(String controller, long leaseId, long lastTerm, long termVersion) {
        if (!leaseExpiries.containsKey(leaseId)
                || leader != null
                || read().termVersion() != termVersion) {
            return 0;
        }
        term = new Key(controller, lastTerm + 1, /* leaseId= */ 0, ++revision);
        leader = new Key(controller, lastTerm + 1, leaseId, revision);
        listener.onTermStored(controller, lastTerm + 1);
        onKeysChanged.run();
        return revision;
    }
}
