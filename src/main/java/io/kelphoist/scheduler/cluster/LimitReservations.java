package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.JobKind;
import io.kelphoist.model.Resources;

/**
 * What is kept of a team's limit for jobs that could not be placed, while the less urgent jobs of
 * the team are considered. The amounts are in {@link TeamUsage}, until they are cleared there.
 */
public final class LimitReservations {
    private LimitReservations() {}

    /**
     * Charges the resources for the pending tasks of an unplaced gang or service to the team's
     * limit. Otherwise, tasks of lower priority could start within the limit, and would be
     * preempted again for that job. Does nothing for a service of which a replica has run, and for
     * a gang of which a task has run in its current attempt. The same holds for one task of an
     * array that is overdue: it is next for what becomes free.
     */
    public static void reserveFor(Job unplaced) {
        Resources perTask = unplaced.spec().resourcesPerTask();
        if (unplaced.spec().kind() != JobKind.ARRAY && !unplaced.hasRun()) {
            unplaced.team().reserveForUrgentJob(perTask.times(unplaced.tasks().pendingCount()));
        } else if (unplaced.spec().kind() == JobKind.ARRAY
                && unplaced.capacityAcquisition().limitWait().isOverdue()) {
            unplaced.team().reserveForUrgentJob(perTask);
        }
    }
}
