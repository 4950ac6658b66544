package io.kelphoist.leadership;

import io.kelphoist.election.Election;
import io.kelphoist.model.Heartbeat;
import io.kelphoist.model.HeartbeatResponse;
import io.kelphoist.scheduler.spi.PendingResponse;
import io.kelphoist.statestore.protocol.StateStoreKeys;
import io.kelphoist.statestore.protocol.StateStoreResult;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Starts and ends the terms that this controller leads, and owns the current one. A term can start
 * only once the machine types have been read: until then this controller is elected but has no
 * {@link LeaderTerm}, and responds to heartbeats only by renewing leases. Runs on the event loop.
 */
public final class LeaderTermLifecycle {
    private static final double MACHINE_TYPES_RETRY_SECONDS = 0.2;

    private final Election election;
    private final LeaderContext context;
    private final ExternalSystems systems;
    private final ReplicationHandlers replication;
    private final LeaderTermFactory factory;
    private Optional<LeaderTerm> current = Optional.empty();

    /** Creates the lifecycle without a current term. */
    public LeaderTermLifecycle(
            Election election,
            LeaderContext context,
            ExternalSystems systems,
            ReplicationHandlers replication,
            LeaderTermFactory factory) {
        this.election = election;
        this.context = context;
        this.systems = systems;
        this.replication = replication;
        this.factory = factory;
    }

    /** The term that is led here; empty if none is, or if it has not started yet. */
    public Optional<LeaderTerm> current() {
        return current;
    }

    /** The term that is led here; empty if none is, or if its records are not loaded yet. */
    public Optional<LeaderTerm> loaded() {
        return current.isPresent() && current.get().isLoaded() ? current : Optional.empty();
    }

    /**
     * Starts a term, at once or as soon as the machine types have been read, which {@link
     * CloudGateway#readStoredTypes} does. The first leader of a deployment finds no types in the
     * state store, and requests them from the cloud. Has no effect once this controller no longer
     * leads the term.
     *
     * @param termVersion version of the term key: the revision at which the term was stored
     */
    public void start(long termNumber, long termVersion) {
        if (election.state() != Election.State.LEADER || election.term() != termNumber) {
            return;
        }
        if (!systems.cloudGateway().machineTypes().isEmpty()) {
            current = Optional.of(factory.start(termNumber, termVersion, election));
            return;
        }
        systems.stateClient()
                .get(
                        StateStoreKeys.MACHINE_TYPES,
                        result -> {
                            if (result.isRejectedFor(StateStoreResult.Reason.NOT_FOUND)) {
                                systems.cloudGateway().fetchMachineTypes();
                            }
                            context.eventLoop()
                                    .schedule(
                                            MACHINE_TYPES_RETRY_SECONDS,
                                            () -> start(termNumber, termVersion));
                        });
    }

    /** Ends the current term, if there is one. */
    public void end() {
        current.ifPresent(LeaderTerm::end);
        current = Optional.empty();
    }

    /**
     * Responds to a heartbeat as the leader.
     *
     * @param relayAddress address of the controller that relayed the heartbeat; empty if it came
     *     directly from the worker
     * @param hold for how long the response may be held
     * @param onResponse receives the response, now or later; empty if this controller is not the
     *     leader, may lack cancellations that were confirmed to users, or must not accept the
     *     heartbeat
     */
    public void respondToHeartbeat(
            Heartbeat heartbeat,
            String relayAddress,
            PendingResponse.Hold hold,
            Consumer<Optional<HeartbeatResponse>> onResponse) {
        if (!LeaderTerm.mayRespond(election, context)) {
            onResponse.accept(Optional.empty());
        } else if (current.isPresent()) {
            current.get().respondToHeartbeat(heartbeat, relayAddress, hold, onResponse);
        } else {
            onResponse.accept(
                    LeaderTerm.renewLeaseOnly(
                            heartbeat, election.term(), replication.records().replica()));
        }
    }
}
