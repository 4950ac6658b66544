package io.kelphoist.scheduler.autoscaling;

import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.model.ScaleOutResult;
import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.MachineCatalog;
import io.kelphoist.scheduler.cluster.MachineIdentity;
import io.kelphoist.scheduler.cluster.MachineRegistry;
import io.kelphoist.scheduler.spi.SchedulerOutput;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The scale-out requests of one leader's term. Owns the requests without a final result, and the
 * backoff of pools for which the cloud had insufficient capacity. A request whose result is unknown
 * is sent again under the same name, which makes it idempotent.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);
    private static final double INSUFFICIENT_CAPACITY_BACKOFF_SECONDS = 15;
    private static final double RETRY_DELAY_SECONDS = 1.0;
    private static final int MAX_MACHINES_PER_REQUEST = 50;

    private final long term;
    private final MachineCatalog catalog;
    private final MachineRegistry machines;
    private final SchedulerOutput output;
    private final Map<MachinePool, Double> backoffUntilSecondsByPool = new HashMap<>();

    /**
     * Requests without a final result, and when to send each of them again; infinity while a
     * request is in flight.
     */
    private final Map<ScaleOutRequest, Double> retryAtSecondsByRequest = new LinkedHashMap<>();

    private long lastRequestNumber;

    /**
     * Creates the requests of a term; there are none yet.
     *
     * @param term the leader's term; the names of requests contain it, so that no two terms use the
     *     same name
     */
    ScaleOutRequests(
            long term, MachineCatalog catalog, MachineRegistry machines, SchedulerOutput output) {
        this.term = term;
        this.catalog = catalog;
        this.machines = machines;
        this.output = output;
    }

    /** Requests without a final result, oldest first. */
    Set<ScaleOutRequest> pending() {
        return retryAtSecondsByRequest.keySet();
    }

    /** Whether the pool is in backoff, as the cloud refused a request or granted fewer machines. */
    boolean isInBackoff(MachinePool pool, double nowSeconds) {
        return nowSeconds < backoffUntilSecondsByPool.getOrDefault(pool, 0.0);
    }

    /** Requests machines of a pool, in several requests if there are too many for one. */
    void request(MachinePool pool, int machineCount) {
        for (int remaining = machineCount; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
            sendRequest(pool, Math.min(remaining, MAX_MACHINES_PER_REQUEST));
        }
    }

    private void sendRequest(MachinePool pool, int machineCount) {
        ScaleOutRequest request =
                new ScaleOutRequest(
                        "t" + term + "-" + ++lastRequestNumber,
                        pool.type(),
                        catalog.zones().name(pool.zone()),
                        pool.spot(),
                        machineCount);
        LOG.info(
                "scale-out requested: request={} requestedMachines={} machineType={} spot={}"
                        + " zone={}",
                request.name(),
                machineCount,
                pool.type(),
                pool.spot(),
                request.zone());
        retryAtSecondsByRequest.put(request, Double.POSITIVE_INFINITY);
        output.scaleOut(request);
    }

    /** Sends again the requests with an unknown result whose retry delay has passed. */
    void retryDueRequests(double nowSeconds) {
        for (var pendingRequest : retryAtSecondsByRequest.entrySet()) {
            if (nowSeconds >= pendingRequest.getValue()) {
                pendingRequest.setValue(Double.POSITIVE_INFINITY);
                output.scaleOut(pendingRequest.getKey());
            }
        }
    }

    /**
     * Applies the result of a request; if the result is unknown, schedules a retry. Ignores a
     * request that already has a final result.
     */
    void onResponse(ScaleOutRequest request, ScaleOutResult result, double nowSeconds) {
        if (!retryAtSecondsByRequest.containsKey(request)) {
            return;
        }
        if (result instanceof ScaleOutResult.Unknown) {
            retryAtSecondsByRequest.put(request, nowSeconds + RETRY_DELAY_SECONDS);
            return;
        }
        retryAtSecondsByRequest.remove(request);
        List<String> grantedNames =
                result instanceof ScaleOutResult.Granted grantedResult
                        ? grantedResult.machineNames()
                        : List.of();
        if (grantedNames.size() < request.machineCount()) {
            onInsufficientCapacity(request, grantedNames.size(), nowSeconds);
        }
        grantedNames.forEach(name -> addMachine(name, request, nowSeconds));
    }

    /** Starts the backoff of the pool after the cloud granted fewer machines than requested. */
    private void onInsufficientCapacity(
            ScaleOutRequest request, int grantedCount, double nowSeconds) {
        LOG.info(
                "scale-out not fully granted: request={} grantedMachines={} requestedMachines={}",
                request.name(),
                grantedCount,
                request.machineCount());
        int zone = catalog.zones().getOrAssign(request.zone());
        backoffUntilSecondsByPool.put(
                new MachinePool(request.machineType(), zone, request.spot()),
                nowSeconds + INSUFFICIENT_CAPACITY_BACKOFF_SECONDS);
    }

    /** Adds a granted machine to the registry, unless it is there or terminated already. */
    private void addMachine(String name, ScaleOutRequest request, double nowSeconds) {
        if (machines.get(name) == null && !machines.isTerminated(name)) {
            machines.add(
                    new Machine(
                            new MachineIdentity(
                                    name,
                                    catalog.type(request.machineType()),
                                    catalog.zones().getOrAssign(request.zone()),
                                    request.spot()),
                            /* address= */ null,
                            Machine.State.BOOTING,
                            nowSeconds));
        }
    }
}
