package io.kelphoist.config;

import io.kelphoist.model.SchedulingPolicy;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The operators' settings of a controller. All of them are optional; {@link #DEFAULTS} are used
 * without a settings file.
 *
 * @param leaderLeaseMillis time to live of the leader lease at the state store
 * @param grantMillis how long a grant lasts, a controller's promise not to lead
 * @param machineHoldBackoffSeconds pause before a machine is held for the same job again, after a
 *     machine hold that expired or whose machine no longer accepted work, if the job still has
 *     pending tasks
 * @param localityWaitSeconds longest wait of an array task for a machine that caches its image
 * @param machineHoldSeconds longest time for which a machine is held for a task that fits on no
 *     machine yet
 * @param gangReservationSeconds longest time for which resources are reserved for a gang before
 *     there are enough for all its tasks; after that, none are reserved for it for as long
 * @param headroom free resources to keep on on-demand machines, as a share of the machines in use,
 *     but at least one machine's worth; 0: no free resources are kept
 * @param idleSeconds how long a machine is idle before it is terminated
 * @param leaseDelegation whether leaders delegate lease renewals, so that a controller in a
 *     partitioned zone goes on renewing the leases of the workers there
 * @param standby whether the leader replicates the state of machines to the other controllers, and
 *     a new leader starts with that state
 * @param grpc empty: gRPC is not served
 * @param traceCollector URL of a collector that receives OTLP over HTTP; an empty text: traces are
 *     logged; no value: there are no traces
 */
public record OperatorSettings(
        int leaderLeaseMillis,
        int grantMillis,
        double machineHoldBackoffSeconds,
        double localityWaitSeconds,
        double machineHoldSeconds,
        double gangReservationSeconds,
        double headroom,
        double idleSeconds,
        boolean leaseDelegation,
        boolean standby,
        Optional<GrpcSettings> grpc,
        Optional<String> traceCollector) {
    /** The settings of a controller without a settings file. */
    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(
                    /* leaderLeaseMillis= */ 3000,
                    /* grantMillis= */ 1500,
                    /* machineHoldBackoffSeconds= */ 5,
                    /* localityWaitSeconds= */ 3,
                    /* machineHoldSeconds= */ 20,
                    /* gangReservationSeconds= */ 15,
                    /* headroom= */ 0.05,
                    /* idleSeconds= */ 40,
                    /* leaseDelegation= */ false,
                    /* standby= */ false,
                    /* grpc= */ Optional.empty(),
                    /* traceCollector= */ Optional.empty());

    private static final String LEASE_DELEGATION_FEATURE = "caretaking";
    private static final String STANDBY_FEATURE = "standby";

    /**
     * Features that can be enabled on the command line, without a settings file: reading one takes
     * a third of the start-up time.
     */
    public static final List<String> FEATURES = List.of(LEASE_DELEGATION_FEATURE, STANDBY_FEATURE);

    private static final int BYTES_PER_KILOBYTE = 1024;

    /** Part of the state store's limit on the size of a value that records do not use. */
    private static final int RESERVED_VALUE_BYTES = 128;

    /**
     * Share of the state store's write limit for pages of start records. A task starts only after
     * the page with its start is stored.
     */
    private static final double STARTS_WRITE_SHARE = 1 / 3.0;

    /** Share of the state store's write limit for pages of progress records (done tasks). */
    private static final double PROGRESS_WRITE_SHARE = 1 / 15.0;

    /**
     * Reads a settings file in the protobuf text format. Unknown fields are ignored.
     *
     * @throws InvalidSettingsException if the file can't be read or a field is invalid
     */
    public static OperatorSettings read(Path file) throws InvalidSettingsException {
        return OperatorSettingsReader.read(file);
    }

    /**
     * Returns these settings with features enabled.
     *
     * @throws InvalidSettingsException if a name is not among {@link #FEATURES}
     */
    public OperatorSettings withFeatures(List<String> features) throws InvalidSettingsException {
        for (String feature : features) {
            if (!FEATURES.contains(feature)) {
                throw new InvalidSettingsException(
                        "--on",
                        feature,
                        "unknown feature, expected one of " + String.join(", ", FEATURES));
            }
        }
        return with(
                leaseDelegation || features.contains(LEASE_DELEGATION_FEATURE),
                standby || features.contains(STANDBY_FEATURE),
                grpc);
    }

    /** Returns these settings with a gRPC server. */
    public OperatorSettings withGrpc(GrpcSettings grpcSettings) {
        return with(leaseDelegation, standby, Optional.of(grpcSettings));
    }

    private OperatorSettings with(
            boolean newLeaseDelegation, boolean newStandby, Optional<GrpcSettings> newGrpc) {
        return new OperatorSettings(
                leaderLeaseMillis,
                grantMillis,
                machineHoldBackoffSeconds,
                localityWaitSeconds,
                machineHoldSeconds,
                gangReservationSeconds,
                headroom,
                idleSeconds,
                newLeaseDelegation,
                newStandby,
                newGrpc,
                traceCollector);
    }

    /** Returns the scheduler's policy, which follows from these and the platform's settings. */
    public SchedulingPolicy toPolicy(PlatformSettings settings) {
        PlatformSettings.StateLimits limits = settings.stateLimits();
        double valueBytes = limits.maxValueKilobytes() * BYTES_PER_KILOBYTE;
        return new SchedulingPolicy(
                settings.zones(),
                settings.teams(),
                settings.workers().heartbeatIntervalSeconds(),
                settings.workers().leaseSeconds(),
                settings.workers().gangPeerSeconds(),
                machineHoldBackoffSeconds,
                localityWaitSeconds,
                machineHoldSeconds,
                gangReservationSeconds,
                headroom,
                idleSeconds,
                /* maxRecordBytes= */ (int)
                        Math.max(RESERVED_VALUE_BYTES, valueBytes - RESERVED_VALUE_BYTES),
                /* startWriteIntervalSeconds= */ 1
                        / (STARTS_WRITE_SHARE * limits.writesPerSecond()),
                /* progressWriteIntervalSeconds= */ 1
                        / (PROGRESS_WRITE_SHARE * limits.writesPerSecond()),
                settings.startObjectiveSeconds());
    }
}
