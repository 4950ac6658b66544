package io.kelphoist.model;

/**
 * A machine in the instance list of the cloud. The list lags behind the actual state.
 *
 * @param address host and port of the machine's worker; null if none is assigned yet
 * @param ageSeconds time since the machine was launched; 0 if the cloud did not state it
 */
public record CloudInstance(
        String name,
        String address,
        String machineType,
        String zone,
        boolean spot,
        InstanceState state,
        double ageSeconds) {
    /** State of an instance in the instance list. */
    public enum InstanceState {
        /** Launched; the worker is not running yet. */
        BOOTING,
        /** The worker is running. */
        RUNNING,
        /** The instance stopped without a request to terminate it. */
        FAILED
    }
}
