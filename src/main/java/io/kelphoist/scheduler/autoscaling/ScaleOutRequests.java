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
 * The scale-out requests of one term: owns the requests without a final answer, and the pools of
 * which the cloud had too few machines. A request without an answer is repeated under its name,
 * which makes it idempotent.
 */
final class ScaleOutRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutRequests.class);
    private static final double REFUSAL_BACKOFF_SECONDS = 15;
    private static final double RETRY_DELAY_SECONDS = 1.0;
    private static final int MAX_MACHINES_PER_REQUEST = 50;

    private final long term;
    private final MachineCatalog catalog;
    private final MachineRegistry machines;
    private final SchedulerOutput output;
    private final Map<MachinePool, Double> refusedUntilSeconds = new HashMap<>();

    /** Requests without a final answer, and when to repeat them; infinity: once they failed. */
    private final Map<ScaleOutRequest, Double> retryAtSecondsByRequest = new LinkedHashMap<>();

    private long requestCount;

    /**
     * Creates it without requests.
     *
     * @param term the leader's term, which names of requests begin with: no two terms use the same
     */
    ScaleOutRequests(
            long term, MachineCatalog catalog, MachineRegistry machines, SchedulerOutput output) {
        this.term = term;
        this.catalog = catalog;
        this.machines = machines;
        this.output = output;
    }

    /** Requests without a final answer, oldest first. */
    Set<ScaleOutRequest> pending() {
        return retryAtSecondsByRequest.keySet();
    }

    /** Whether the cloud had too few machines of the pool a short while ago. */
    boolean isRefused(MachinePool pool, double nowSeconds) {
        return nowSeconds < refusedUntilSeconds.getOrDefault(pool, 0.0);
    }

    /** Requests machines of a pool, in as many requests as that takes. */
    void request(MachinePool pool, int machineCount) {
        for (int remaining = machineCount; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
            sendRequest(pool, Math.min(remaining, MAX_MACHINES_PER_REQUEST));
        }
    }

    private void sendRequest(MachinePool pool, int machineCount) {
        ScaleOutRequest request =
                new ScaleOutRequest(
                        "t" + term + "-" + ++requestCount,
                        pool.type(),
                        catalog.zones().name(pool.zone()),
                        pool.spot(),
                        machineCount);
        LOG.info(
                "scale-out requested: request={} count={} type={} spot={} zone={}",
                request.name(),
                machineCount,
                pool.type(),
                pool.spot(),
                request.zone());
        retryAtSecondsByRequest.put(request, Double.POSITIVE_INFINITY);
        output.scaleOut(request);
    }

    void retryDueRequests(double nowSeconds) {
        for (var pendingRequest : retryAtSecondsByRequest.entrySet()) {
            if (nowSeconds >= pendingRequest.getValue()) {
                pendingRequest.setValue(Double.POSITIVE_INFINITY);
                output.scaleOut(pendingRequest.getKey());
            }
        }
    }

    /** Applies the cloud's result; a request with an unknown result is repeated. */
    void onResponse(ScaleOutRequest request, ScaleOutResult result, double nowSeconds) {
        if (!retryAtSecondsByRequest.containsKey(request)) {
            return;
        }
        if (result instanceof ScaleOutResult.Unknown) {
            retryAtSecondsByRequest.put(request, nowSeconds + RETRY_DELAY_SECONDS);
            return;
        }
        retryAtSecondsByRequest.remove(request);
        List<String> received =
                result instanceof ScaleOutResult.Granted granted
                        ? granted.machineNames()
                        : List.of();
        if (received.size() < request.machineCount()) {
            onIncomplete(request, received.size(), nowSeconds);
        }
        received.forEach(name -> addMachine(name, request, nowSeconds));
    }

    private void onIncomplete(ScaleOutRequest request, int receivedCount, double nowSeconds) {
        LOG.info(
                "scale-out incomplete: request={} received={} requested={}",
                request.name(),
                receivedCount,
                request.machineCount());
        int zone = catalog.zones().getOrAssign(request.zone());
        refusedUntilSeconds.put(
                new MachinePool(request.machineType(), zone, request.spot()),
                nowSeconds + REFUSAL_BACKOFF_SECONDS);
    }

    private void addMachine(String name, ScaleOutRequest request, double nowSeconds) {
        if (machines.get(name) == null && !machines.isTerminated(name)) {
            machines.add(
                    new Machine(
                            new MachineIdentity(
                                    name,
                                    catalog.type(request.machineType()),
                                    catalog.zones().getOrAssign(request.zone()),
                                    request.spot()),
                            null,
                            Machine.State.BOOTING,
                            nowSeconds));
        }
    }
}
