package io.kelphoist.delegation;

import io.kelphoist.cancellation.ConfirmedCancellations;

/** A controller's process: its clock, its delegation and the cancellations that it confirmed. */
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

    /** It has read that the job is cancelled, and can say so without the state store. */
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

    /** A new process starts and knows nothing. An earlier one may have granted up to its end. */
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

    /** The worker cannot reach it. */
    void setWorkerBlocked(boolean blocked) {
        workerBlocked = blocked;
    }

    boolean isWorkerBlocked() {
        return workerBlocked;
    }

    /** Heartbeats of the worker arrive, and responses do not reach the worker. */
    void setWorkerResponsesBlocked(boolean blocked) {
        workerResponsesBlocked = blocked;
    }

    boolean areWorkerResponsesBlocked() {
        return workerResponsesBlocked;
    }
}
