package io.kelphoist.model;

/**
 * A machine as the cloud lists it. The list lags behind.
 *
 * @param address host and port of its worker; null: not assigned yet
 * @param ageSeconds how long ago it was launched
 */
public record CloudInstance(
        String name,
        String address,
        String machineType,
        String zone,
        boolean spot,
        InstanceState state,
        double ageSeconds) {
    /** What the cloud says of an instance. */
    public enum InstanceState {
        /** Launched; its worker does not run yet. */
        BOOTING,
        /** Its worker runs. */
        RUNNING,
        /** It stopped by itself. */
        FAILED
    }
}
