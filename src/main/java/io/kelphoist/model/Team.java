package io.kelphoist.model;

/**
 * A team and its quota. A resource that has neither a guarantee nor a limit is not restricted: both
 * are infinite.
 *
 * @param guarantee resources that the team gets even if tasks of other teams must be preempted
 * @param limit maximum resources that the team may use
 */
public record Team(String name, Resources guarantee, Resources limit) {
    /**
     * Returns whether this is a guest team, which has no guarantee. It gets unused resources only,
     * and its tasks are preempted first.
     */
    public boolean isGuest() {
        return guarantee.equals(Resources.NONE);
    }
}
