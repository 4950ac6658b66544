package io.kelphoist.scheduler.autoscaling;

/**
 * The machines of one type, zone and purchasing model (spot or on-demand), which can be requested
 * from the cloud.
 *
 * @param type name of the machine type
 * @param zone index of the zone
 * @param spot whether its machines are spot instances
 */
record MachinePool(String type, int zone, boolean spot) {}
