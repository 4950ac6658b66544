package io.kelphoist.leadership;

import io.kelphoist.cloud.CloudClient;
import io.kelphoist.eventloop.EventLoop;
import io.kelphoist.model.MachineType;
import io.kelphoist.model.ScaleOutRequest;
import io.kelphoist.scheduler.SchedulerState;
import io.kelphoist.statestore.StateStoreClient;
import io.kelphoist.statestore.protocol.RecordCodec;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import io.kelphoist.statestore.protocol.StoredRecord;
import io.kelphoist.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes requests of the current term's scheduler to the cloud, and the responses back to the
 * scheduler. Owns this controller's list of machine types, which the leader stores in the state
 * store for the other controllers. A response to an instance list, scale-out or scale-in request
 * that arrives after the end of the term that sent the request is discarded. Runs on the event
 * loop.
 */
public final class CloudGateway {
    private static final Logger LOG = LoggerFactory.getLogger(CloudGateway.class);
    private static final double TYPES_REFRESH_SECONDS = 45;
    private static final double TYPES_RETRY_SECONDS = 1.0;
    private static final double STORED_TYPES_RETRY_SECONDS = 0.5;
    private static final double MIN_LIST_INTERVAL_SECONDS = 2.0;

    /**
     * The next instance list is requested only after the time in which the cloud allows this many
     * requests, so that instance lists of one page use at most half of the allowed requests.
     */
    private static final double REQUESTS_PER_LIST_INTERVAL = 2;

    private final CloudClient cloudClient;
    private final StateStoreClient stateClient;
    private final EventLoop eventLoop;
    private final double listIntervalSeconds;
    private final Runnable requestTick;

    /** The term that is led here; empty while none is. */
    private Optional<CurrentTerm> currentTerm = Optional.empty();

    private List<MachineType> machineTypes = List.of();
    private double typesFetchedAtSeconds = Double.NEGATIVE_INFINITY;
    private boolean typesRequestPending;
    private double nextListAtSeconds;
    private boolean listRequestPending;

    private record CurrentTerm(SchedulerState scheduler, TermRecordStore store) {}

    /**
     * @param requestsPerSecond request rate that the cloud allows this controller
     * @param requestTick schedules a tick soon, after a response to the current term
     */
    public CloudGateway(
            CloudClient cloudClient,
            StateStoreClient stateClient,
            EventLoop eventLoop,
            double requestsPerSecond,
            Runnable requestTick) {
        this.cloudClient = cloudClient;
        this.stateClient = stateClient;
        this.eventLoop = eventLoop;
        this.listIntervalSeconds =
                Math.max(MIN_LIST_INTERVAL_SECONDS, REQUESTS_PER_LIST_INTERVAL / requestsPerSecond);
        this.requestTick = requestTick;
    }

    // ---- terms ----

    void onTermStarted(SchedulerState schedulerState, TermRecordStore store) {
        currentTerm = Optional.of(new CurrentTerm(schedulerState, store));
    }

    void onTermEnded() {
        currentTerm = Optional.empty();
    }

    // ---- machine types ----

    /**
     * The machine types that the cloud offers; empty until they have been read from the state store
     * or the cloud.
     */
    public List<MachineType> machineTypes() {
        return machineTypes;
    }

    /**
     * Reads the machine types that a leader stored, and retries until this controller has machine
     * types from the state store or from the cloud.
     */
    public void readStoredTypes() {
        if (!machineTypes.isEmpty()) {
            return;
        }
        stateClient.get(
                StateStoreKeys.MACHINE_TYPES,
                result -> {
                    if (!applyStoredTypes(result)) {
                        eventLoop.schedule(STORED_TYPES_RETRY_SECONDS, this::readStoredTypes);
                    }
                });
    }

    /**
     * Applies the stored machine types, unless this controller has machine types already. Returns
     * false if none are stored, the read failed or the record is malformed.
     */
    private boolean applyStoredTypes(StateStoreResult<StoredRecord> result) {
        if (result instanceof StateStoreResult.Success<StoredRecord> found) {
            try {
                if (machineTypes.isEmpty()) {
                    machineTypes = RecordCodec.decodeMachineTypes(found.value());
                }
                return true;
            } catch (MalformedMessageException e) {
                LOG.error("malformed machine types in the state store: error={}", e.getMessage());
            }
        }
        return false;
    }

    /**
     * Requests the machine types from the cloud, unless such a request is pending. They are stored
     * if a term is led here and the names of the types have changed.
     */
    void fetchMachineTypes() {
        if (typesRequestPending) {
            return;
        }
        typesRequestPending = true;
        cloudClient.listMachineTypes(
                fetched -> {
                    typesRequestPending = false;
                    applyFetchedTypes(fetched.orElse(List.of()));
                });
    }

    private void applyFetchedTypes(List<MachineType> fetched) {
        if (fetched.isEmpty()) {
            // Makes the next request due after the retry interval.
            typesFetchedAtSeconds =
                    eventLoop.nowSeconds() - TYPES_REFRESH_SECONDS + TYPES_RETRY_SECONDS;
            return;
        }
        typesFetchedAtSeconds = eventLoop.nowSeconds();
        boolean namesChanged =
                machineTypes.isEmpty() || !typeNames(machineTypes).equals(typeNames(fetched));
        machineTypes = fetched;
        if (currentTerm.isPresent()) {
            currentTerm.get().scheduler.addMachineTypes(fetched);
            if (namesChanged) {
                currentTerm.get().store.storeMachineTypes(fetched);
            }
        }
    }

    private static List<String> typeNames(List<MachineType> types) {
        return types.stream().map(MachineType::name).toList();
    }

    // ---- instances ----

    /**
     * Requests the list of instances and the machine types, each if it is due: the list an interval
     * after the previous request for it ended, the types an interval after they were received, or
     * sooner after a failed request.
     */
    public void poll(double nowSeconds) {
        if (!listRequestPending && nowSeconds >= nextListAtSeconds) {
            listInstances();
        }
        if (nowSeconds >= typesFetchedAtSeconds + TYPES_REFRESH_SECONDS) {
            fetchMachineTypes();
        }
    }

    private void listInstances() {
        listRequestPending = true;
        Optional<CurrentTerm> requestingTerm = currentTerm;
        cloudClient.listInstances(
                instances -> {
                    listRequestPending = false;
                    nextListAtSeconds = eventLoop.nowSeconds() + listIntervalSeconds;
                    if (instances.isPresent() && isCurrent(requestingTerm)) {
                        requestingTerm
                                .get()
                                .scheduler
                                .onInstanceList(instances.get(), eventLoop.nowSeconds());
                        requestTick.run();
                    }
                });
    }

    /**
     * Requests machines from the cloud. The result goes to the scheduler of the term that requested
     * them, if that term is still led here.
     *
     * @param isStillLeader evaluated when the request is sent, which may be later; if false, the
     *     request is not sent, and its result is unknown
     */
    void scaleOut(ScaleOutRequest request, BooleanSupplier isStillLeader) {
        Optional<CurrentTerm> requestingTerm = currentTerm;
        cloudClient.scaleOut(
                request,
                isStillLeader,
                result -> {
                    if (isCurrent(requestingTerm)) {
                        requestingTerm
                                .get()
                                .scheduler
                                .onScaleOutResponse(request, result, eventLoop.nowSeconds());
                        requestTick.run();
                    }
                });
    }

    /**
     * Requests that the cloud terminate machines. The outcome goes to the scheduler of the term
     * that requested it, if that term is still led here.
     */
    void scaleIn(List<String> machines) {
        Optional<CurrentTerm> requestingTerm = currentTerm;
        List<String> machineNames = new ArrayList<>(machines);
        cloudClient.scaleIn(
                machineNames,
                succeeded -> {
                    if (!isCurrent(requestingTerm)) {
                        return;
                    }
                    if (succeeded) {
                        requestingTerm
                                .get()
                                .scheduler
                                .onScaleInConfirmed(machineNames, eventLoop.nowSeconds());
                    } else {
                        requestingTerm.get().scheduler.onScaleInFailed(eventLoop.nowSeconds());
                    }
                    requestTick.run();
                });
    }

    /** Whether the term that sent a request is still the one that is led here. */
    private boolean isCurrent(Optional<CurrentTerm> requestingTerm) {
        return requestingTerm.isPresent() && currentTerm.equals(requestingTerm);
    }
}
