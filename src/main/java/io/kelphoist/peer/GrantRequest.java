package io.kelphoist.peer;

/**
 * The message with which a leader requests a grant from another controller: the promise not to lead
 * for a while. It is sent several times a second at the default duration of a grant, and also
 * replicates the leader's state.
 *
 * @param term the leader's term. A value that is not an integer is converted if possible: a
 *     fraction is truncated, a text is read as a number, and true is 1; otherwise the term is 0,
 *     also if the field is missing
 * @param termIsInteger whether the term was sent as an integer. If it was not, no grant is given,
 *     but the state is applied under the converted term
 * @param sender the leader's name; empty if the field is missing
 * @param stateStoreReachable whether the leader's requests to the state store are succeeding; false
 *     if the field is missing or cannot be read as true
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
