package io.kelphoist.peer;

import io.kelphoist.replication.MachineStatePublisher.MachineStateUpdate;
import java.util.Optional;

/**
 * The message with which a leader that has given up leadership notifies another controller that its
 * term has ended.
 *
 * @param endedTerm the term that ended; 0 if the field is missing. Other values are converted as
 *     the term of a {@link GrantRequest}
 * @param sender the name of the former leader; empty if the field is missing
 * @param preferredSuccessor the controller that should lead next; empty if no controller has
 *     acknowledged machine state in the ended term, so that the former leader knows of none that is
 *     better prepared than the others, or if its version does not send the field
 * @param machineStateUpdate the last changes of machines in the ended term that the receiver has
 *     not acknowledged, up to the maximum size of an update; empty if machine state is not
 *     replicated
 */
public record HandoverMessage(
        long endedTerm,
        String sender,
        Optional<String> preferredSuccessor,
        Optional<MachineStateUpdate> machineStateUpdate) {}
