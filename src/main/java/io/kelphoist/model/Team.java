package io.kelphoist.model;

/**
 * A team and its quota. A resource that has neither a guarantee nor a limit is not restricted: both
 * are infinite. A guest team is an exception: it has no guarantee of any resource.
 *
 * @param guarantee resources that the team gets even if tasks of other teams must be preempted;
 *     {@link Resources#NONE} for a guest team
 * @param limit maximum resources that the team may use; infinite for a resource without a limit
 */
public record Team(String name, Resources guarantee, Resources limit) {
    /**
     * Returns whether this is a guest team, to which nothing is guaranteed. Everything that it uses
     * exceeds its guarantee, so tasks of any priority, except replicas of services, can be
     * preempted for a team that is within its guarantee. Its job arrays preempt no tasks, and its
     * other jobs only those of lower priority.
     */
    public boolean isGuest() {
        return guarantee.equals(Resources.NONE);
    }
}
