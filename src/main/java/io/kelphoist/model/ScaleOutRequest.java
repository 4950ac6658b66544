package io.kelphoist.model;

/**
 * A request to the cloud for new machines.
 *
 * @param name identifies the request. It includes the term, and no controller ever uses it for
 *     another request, so that the cloud grants the request only once even if it is sent again
 * @param machineCount number of requested machines
 */
public record ScaleOutRequest(
        String name, String machineType, String zone, boolean spot, int machineCount) {}
