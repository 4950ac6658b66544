package io.kelphoist.peer;

import io.kelphoist.delegation.DelegationOffer;
import io.kelphoist.model.TaskCounts;
import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import java.util.Map;
import java.util.Optional;

/**
 * The state that a leader replicates to one other controller with a grant request. Each part is
 * optional: some parts are not due with every request, and a leader of an older version omits those
 * that its version does not have.
 *
 * @param taskCounts the task counts of jobs with done or running tasks, by job id, up to a maximum
 *     number of jobs; the map is not copied and must not be modified
 * @param machineStateUpdate the changes of machines that the receiver has not acknowledged, up to
 *     the maximum size of an update
 * @param acknowledgedCancellations which of the cancellations that the receiver confirmed to users
 *     the leader has recorded
 * @param delegationOffer offer of a lease delegation to the receiver
 */
public record LeaderState(
        Optional<Map<String, TaskCounts>> taskCounts,
        Optional<MachineStateUpdate> machineStateUpdate,
        Optional<CancellationCodec.Acknowledgement> acknowledgedCancellations,
        Optional<DelegationOffer> delegationOffer) {
    /** The state of a leader that has not loaded its records yet: all parts are absent. */
    public static final LeaderState NONE =
            new LeaderState(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
}
