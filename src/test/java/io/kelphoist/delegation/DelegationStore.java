package io.kelphoist.delegation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** The contents of the state store: delegation records and the cancellation of the job. */
final class DelegationStore {
    private final DelegationNetwork network;

    /** Recorded starts of delegations in simulated true time, by controller. */
    private final Map<String, Double> delegationStartsSeconds = new LinkedHashMap<>();

    private boolean unavailable;
    private double cancelledAtSeconds = Double.POSITIVE_INFINITY;

    DelegationStore(DelegationNetwork network) {
        this.network = network;
    }

    void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    boolean isReachableBy(DelegationController controller) {
        return !unavailable && !controller.isRefusedByStore();
    }

    void putCancellation() {
        cancelledAtSeconds = Math.min(cancelledAtSeconds, network.nowSeconds());
    }

    boolean isCancelled() {
        return cancelledAtSeconds <= network.nowSeconds();
    }

    /**
     * Stores or clears a delegation record.
     *
     * @param startsAtSeconds latest start of the delegation; NaN clears the record
     */
    void putDelegation(String controllerName, double startsAtSeconds) {
        if (Double.isNaN(startsAtSeconds)) {
            delegationStartsSeconds.remove(controllerName);
        } else {
            delegationStartsSeconds.put(controllerName, startsAtSeconds);
        }
    }

    void forEachDelegation(BiConsumer<String, Double> action) {
        delegationStartsSeconds.forEach(action);
    }
}
