package io.kelphoist.peer;

import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import java.util.Map;
import java.util.Optional;

/**
 * What a leader replicates to one other controller with a grant request. Each part is optional:
 * some are not due with every request, and a leader of an older version leaves out those that it
 * does not know.
 *
 * @param taskCounts the counts of all jobs with started tasks, by job; the map is not copied, and
 *     nobody changes it
 * @param machineStateUpdate changes of machines since the last acknowledged ones
 * @param acknowledgedCancellations which of the receiver's confirmed cancellations the leader has
 * @param delegationOffer offer of a lease delegation
 */
public record LeaderState(
        Optional<Map<String, TaskCounts>> taskCounts,
        Optional<MachineStateUpdate> machineStateUpdate,
        Optional<CancellationCodec.Acknowledgement> acknowledgedCancellations,
        Optional<DelegationOffer> delegationOffer) {
    /** Of a leader whose records are not loaded yet. */
    public static final LeaderState NONE =
            new LeaderState(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
}
