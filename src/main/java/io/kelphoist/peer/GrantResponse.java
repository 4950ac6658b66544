package io.kelphoist.peer;

import io.kelphoist.delegation.PeerStatus;
import java.util.Optional;

/**
 * A controller's response to a leader's {@link GrantRequest}. It also reports how far the
 * controller has got with what the leader replicates.
 *
 * @param granted whether the grant is given; false if it is missing
 * @param stateStoreReachable whether the controller reaches the state store; false if it does not
 *     say so
 * @param replicaStatus acknowledges machine states; empty if the request had no update, or from a
 *     version without replication of machine states
 * @param delegationStatus the controller's lease delegation; empty from a version without
 *     delegation
 * @param cancellations cancellations that the controller has confirmed to users
 */
public record GrantResponse(
        boolean granted,
        boolean stateStoreReachable,
        Optional<ReplicationCodec.ReplicaStatus> replicaStatus,
        Optional<PeerStatus> delegationStatus,
        CancellationReport cancellations) {}
