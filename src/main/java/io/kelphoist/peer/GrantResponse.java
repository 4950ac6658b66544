package io.kelphoist.peer;

import io.kelphoist.delegation.PeerStatus;
import java.util.Optional;

/**
 * A controller's response to a leader's {@link GrantRequest}. It also acknowledges the state that
 * the leader replicated with the request.
 *
 * @param granted whether the grant is given; false if the field is missing or cannot be read as
 *     true
 * @param stateStoreReachable whether the controller's requests to the state store are succeeding;
 *     false if the field is missing or cannot be read as true
 * @param replicaStatus acknowledges machine state; empty if the request had no update, or if the
 *     controller does not replicate machine state, because its version or its settings do not
 * @param delegationStatus the status of the controller for lease delegation; empty if its version
 *     does not have lease delegation
 * @param cancellations the cancellations that the controller has confirmed to users
 */
public record GrantResponse(
        boolean granted,
        boolean stateStoreReachable,
        Optional<ReplicationCodec.ReplicaStatus> replicaStatus,
        Optional<PeerStatus> delegationStatus,
        CancellationReport cancellations) {}
