package io.kelphoist.peer;

/**
 * The message with which a leader requests a grant from another controller. It is sent several
 * times a second and also replicates the leader's state.
 *
 * @param term the leader's term; 0 if the field is missing or is not a number
 * @param termIsInteger whether the term was sent as an integer. If it was not, no grant is given,
 *     but the state is applied
 * @param sender the leader's name; empty if the field is missing
 * @param stateStoreReachable whether the leader's requests to the state store are succeeding; false
 *     if the field is missing
 * @param state the state that the leader replicates
 */
public record GrantRequest(
        long term,
        boolean termIsInteger,
        String sender,
        boolean stateStoreReachable,
        LeaderState state) {
    /** Creates a request for a grant to the leader of a term. */
    public GrantRequest(long term, String sender, boolean stateStoreReachable, LeaderState state) {
        this(term, true, sender, stateStoreReachable, state);
    }
}
