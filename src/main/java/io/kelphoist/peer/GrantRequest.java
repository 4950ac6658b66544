package io.kelphoist.peer;

/**
 * A leader requests a grant from another controller, several times a second, and replicates its
 * state with the same message.
 *
 * @param term the leader's term; 0 if it is missing or no number
 * @param termIsInteger whether the term was sent as an integer: otherwise no grant is given, but
 *     the state is applied
 * @param sender the leader's name; empty if it is missing
 * @param stateStoreReachable whether the leader reaches the state store; false if it does not say
 *     so
 * @param state what the leader replicates
 */
public record GrantRequest(
        long term,
        boolean termIsInteger,
        String sender,
        boolean stateStoreReachable,
        LeaderState state) {
    /** A request for a grant of a term. */
    public GrantRequest(long term, String sender, boolean reachesStateStore, LeaderState state) {
        this(term, true, sender, reachesStateStore, state);
    }
}
