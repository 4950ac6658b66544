package io.kelphoist.delegation;

import io.kelphoist.cancellation.ConfirmedCancellations;

/**
 * A controller's process: its clock, the delegation that it holds and the cancellations that it
 * confirmed.
 */
final class DelegationController {
    private final int index;
    private final String zone;
    private final double clockOffsetSeconds;
    private final double clockRate;
    private final DelegationTiming timing;
    private final DelegationNetwork network;
    private long incarnation;
    private double startedAtSeconds;
    private HeldDelegation delegation;
    private ConfirmedCancellations confirmed;
    private boolean up = true;
    private boolean refusedByStore;
    private double lastGrantAtSeconds = Double.NEGATIVE_INFINITY;
    private boolean workerBlocked;
    private boolean workerResponsesBlocked;

    /**
     * Whether this process has read or stored the cancellation, so that it can acknowledge it
     * without the state store.
     */
    private boolean hasReceivedCancellation;

    DelegationController(
            int index,
            String zone,
            double clockOffsetSeconds,
            double clockRate,
            DelegationTiming timing,
            DelegationNetwork network) {
        this.index = index;
        this.zone = zone;
        this.clockOffsetSeconds = clockOffsetSeconds;
        this.clockRate = clockRate;
        this.timing = timing;
        this.network = network;
        start();
    }

    /**
     * Starts a new process without any state of an earlier one. An earlier process may have given
     * grants until now.
     */
    void start() {
        incarnation++;
        startedAtSeconds = network.nowSeconds();
        up = true;
        delegation = new HeldDelegation(timing, zone, incarnation);
        confirmed = new ConfirmedCancellations(incarnation, clock());
        hasReceivedCancellation = false;
        lastGrantAtSeconds = network.nowSeconds();
    }

    void stop() {
        up = false;
    }

    int index() {
        return index;
    }

    String name() {
        return "hoist-" + index;
    }

    String zone() {
        return zone;
    }

    /** Returns the current value of this controller's own clock, which drifts. */
    double clock() {
        return clockAt(network.nowSeconds());
    }

    double clockAt(double trueSeconds) {
        return clockOffsetSeconds + trueSeconds * clockRate;
    }

    double clockRate() {
        return clockRate;
    }

    boolean isUp() {
        return up;
    }

    long incarnation() {
        return incarnation;
    }

    HeldDelegation delegation() {
        return delegation;
    }

    ConfirmedCancellations confirmed() {
        return confirmed;
    }

    /** Returns the status that this controller reports to the leader of a term. */
    PeerStatus status(long term) {
        double renewedAt = delegation.lastRenewalAtSeconds();
        double sinceRenewal =
                renewedAt == Double.NEGATIVE_INFINITY
                        ? Double.POSITIVE_INFINITY
                        : clock() - renewedAt;
        return new PeerStatus(
                incarnation,
                clock(),
                (network.nowSeconds() - startedAtSeconds) * clockRate,
                sinceRenewal,
                delegation.sequenceNumberOf(term));
    }

    void onGranted() {
        lastGrantAtSeconds = network.nowSeconds();
    }

    double lastGrantAtSeconds() {
        return lastGrantAtSeconds;
    }

    void onCancellationReceived() {
        hasReceivedCancellation = true;
    }

    boolean hasReceivedCancellation() {
        return hasReceivedCancellation;
    }

    // ---- faults ----

    void setRefusedByStore(boolean refused) {
        refusedByStore = refused;
    }

    boolean isRefusedByStore() {
        return refusedByStore;
    }

    /** Sets whether the worker's heartbeats to this controller are lost. */
    void setWorkerBlocked(boolean blocked) {
        workerBlocked = blocked;
    }

    boolean isWorkerBlocked() {
        return workerBlocked;
    }

    /** Sets whether responses to the worker's heartbeats are lost while the heartbeats arrive. */
    void setWorkerResponsesBlocked(boolean blocked) {
        workerResponsesBlocked = blocked;
    }

    boolean areWorkerResponsesBlocked() {
        return workerResponsesBlocked;
    }
}
