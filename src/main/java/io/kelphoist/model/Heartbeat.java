package io.kelphoist.model;

import java.util.List;

/**
 * A worker's message with the status of its machine and tasks: a heartbeat, or the response to
 * commands or a status request. Of two messages of a worker process the one with the greater pair
 * ({@code agentEpoch}, {@code sequenceNumber}) is newer.
 *
 * @param address host and port of the worker
 * @param agentEpoch increases each time the worker has lost its lease and starts anew, without the
 *     tasks of earlier agent epochs; a restarted worker process counts from 1 again
 * @param sequenceNumber increases with each message of an agent epoch
 * @param fencingToken the highest term that the worker has seen
 * @param terminationNoticeSeconds seconds until the cloud terminates the machine; null if the cloud
 *     has sent no termination notice
 */
public record Heartbeat(
        String machineName,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long agentEpoch,
        long sequenceNumber,
        long fencingToken,
        Double terminationNoticeSeconds,
        List<TaskStatus> tasks) {
    /** Returns whether this message is newer than the one with these numbers. */
    public boolean isNewerThan(long otherAgentEpoch, long otherSequenceNumber) {
        return agentEpoch > otherAgentEpoch
                || (agentEpoch == otherAgentEpoch && sequenceNumber > otherSequenceNumber);
    }
}
