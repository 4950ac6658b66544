package io.kelphoist.model;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param cacheGb size of the image cache of a machine
 * @param fetchGbPerSecond rate at which a machine fetches images
 * @param price hourly price of an on-demand instance
 * @param spotPrice hourly price of a spot instance
 * @param bootSeconds nominal time to boot a machine
 * @param zones zones in which the cloud offers this type
 */
public record MachineType(
        String name,
        Resources capacity,
        double cacheGb,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        double bootSeconds,
        List<String> zones) {
    /** Returns the hourly price of a spot or an on-demand instance. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
