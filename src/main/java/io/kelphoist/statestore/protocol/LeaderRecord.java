package io.kelphoist.statestore.protocol;

/**
 * Value of the keys {@link StateStoreKeys#TERM} and {@link StateStoreKeys#LEADER}.
 *
 * @param term number of the term, which began when the keys were written
 * @param controllerName name of the controller that leads in this term
 */
public record LeaderRecord(long term, String controllerName) {}
