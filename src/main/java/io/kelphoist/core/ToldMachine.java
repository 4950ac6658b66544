package io.kelphoist.core;

/**
 * What an earlier leader said of a machine: a hint whom to ask, and what not to rent again. It decides nothing.
 *
 * @param address null: not known
 * @param session of its worker; 0: not known
 * @param up its worker has reported; else it was rented and is booting
 * @param draining it got no new work
 * @param quiet it had missed a report
 * @param ageS since it was rented
 * @param takenInS until the cloud takes it; infinite: no notice was given
 */
public record ToldMachine(String name, String address, String type, String zone, boolean spot, long session, boolean up, boolean draining,
                          boolean quiet, double ageS, double takenInS) { }
