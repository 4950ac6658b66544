package io.kelphoist.scheduler.preemption;

import io.kelphoist.scheduler.cluster.Machine;
import io.kelphoist.scheduler.cluster.TaskAttempt;
import java.util.List;

/**
 * The cheapest machines for the pending tasks of a job, and the task attempts to preempt there.
 *
 * @param slots one slot per task to be placed, cheapest first; never empty
 * @param costSeconds expected delay until the start plus the weighted cost of the work lost by
 *     preemption, in seconds: for a gang the highest of each of the two over all slots, for other
 *     jobs those of the cheapest slot
 */
public record PreemptionPlan(List<TaskSlot> slots, double costSeconds) {
    /**
     * Resources for one task on a machine.
     *
     * @param victims the attempts to preempt for this slot, in addition to the victims of earlier
     *     slots on the same machine
     * @param startDelaySeconds expected delay until the task can start: image fetch plus the
     *     longest grace period for a checkpoint among the victims of this and earlier slots on the
     *     machine
     * @param lostWorkSeconds weighted cost of preempting the victims of this and earlier slots on
     *     the machine, in seconds
     */
    record TaskSlot(
            Machine machine,
            List<TaskAttempt> victims,
            double startDelaySeconds,
            double lostWorkSeconds) {
        double costSeconds() {
            return startDelaySeconds + lostWorkSeconds;
        }
    }

    /** Whether the plan preempts any attempt. */
    boolean hasVictims() {
        for (TaskSlot slot : slots) {
            if (!slot.victims.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the plan preempts a task of a job that has a deadline, or on which a job with a
     * deadline depends.
     */
    boolean stopsDeadlineWork() {
        for (TaskSlot slot : slots) {
            for (TaskAttempt victim : slot.victims) {
                if (victim.job().latestFinishAtSeconds() != Double.POSITIVE_INFINITY) {
                    return true;
                }
            }
        }
        return false;
    }
}
