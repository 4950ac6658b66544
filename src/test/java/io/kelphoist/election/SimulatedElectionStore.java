package io.kelphoist.election;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The state store's part in elections: leases, the leader key and the term key. */
final class SimulatedElectionStore {
    static final double LEASE_SECONDS = 3;

    /**
     * A key's value.
     *
     * @param leaseId the lease that it is bound to; 0: none
     */
    record Key(String controller, long term, long leaseId, long revision) {}

    /**
     * Both keys at one revision.
     *
     * @param leader null: the key is absent
     * @param term null: the key is absent
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
    private boolean down;
    private int delayedTransactionsOfTen;
    private int lostResponsesOfTen;

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

    boolean isDown() {
        return down;
    }

    /** After an outage all leases have their full time again. */
    void setDown(boolean down) {
        if (this.down && !down) {
            leaseExpiries.replaceAll((leaseId, expiry) -> timeline.nowSeconds() + LEASE_SECONDS);
        }
        this.down = down;
    }

    void setDelayedTransactions(int ofTen) {
        delayedTransactionsOfTen = ofTen;
    }

    void setLostResponses(int ofTen) {
        lostResponsesOfTen = ofTen;
    }

    boolean drawDelayedTransaction() {
        return random.nextInt(10) < delayedTransactionsOfTen;
    }

    boolean drawLostResponse() {
        return random.nextInt(10) < lostResponsesOfTen;
    }

    Snapshot read() {
        return new Snapshot(leader, term, revision);
    }

    long grantLease() {
        leaseExpiries.put(++lastLeaseId, timeline.nowSeconds() + LEASE_SECONDS);
        return lastLeaseId;
    }

    /** Returns false if the lease has ended. */
    boolean renewLease(long leaseId) {
        return leaseExpiries.computeIfPresent(
                        leaseId, (id, expiry) -> timeline.nowSeconds() + LEASE_SECONDS)
                != null;
    }

    void removeLease(long leaseId) {
        boolean existed = leaseExpiries.remove(leaseId) != null;
        if (existed && leader != null && leader.leaseId() == leaseId) {
            leader = null;
            revision++;
            onKeysChanged.run();
        }
    }

    /** Leases end up to 100 ms late, but never early, and not during an outage. */
    void expireLeases(double stepSeconds) {
        if (down) {
            return;
        }
        for (Map.Entry<Long, Double> lease : List.copyOf(leaseExpiries.entrySet())) {
            if (timeline.nowSeconds() > lease.getValue() + random.nextInt(3) * stepSeconds) {
                removeLease(lease.getKey());
            }
        }
    }

    /**
     * The transaction that acquires leadership for the term after {@code lastTerm}. A put under a
     * lease that has ended is refused whatever the conditions.
     *
     * @return its revision; 0: a condition does not hold
     */
    long acquire(String controller, long leaseId, long lastTerm, long termVersion) {
        if (!leaseExpiries.containsKey(leaseId)
                || leader != null
                || read().termVersion() != termVersion) {
            return 0;
        }
        term = new Key(controller, lastTerm + 1, 0, ++revision);
        leader = new Key(controller, lastTerm + 1, leaseId, revision);
        listener.onTermStored(controller, lastTerm + 1);
        onKeysChanged.run();
        return revision;
    }
}
