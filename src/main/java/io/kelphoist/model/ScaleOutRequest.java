package io.kelphoist.model;

/**
 * A request for machines. Its name holds the term and is never used again by any controller, so
 * that the cloud grants it once however often it is sent.
 *
 * @param machineCount how many machines
 */
public record ScaleOutRequest(
        String name, String machineType, String zone, boolean spot, int machineCount) {}
