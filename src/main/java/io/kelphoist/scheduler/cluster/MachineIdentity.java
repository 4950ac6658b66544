package io.kelphoist.scheduler.cluster;

import io.kelphoist.model.MachineType;

/**
 * The attributes of a machine that never change.
 *
 * @param name unique, and never reused by the cloud
 * @param zone the index of its zone
 * @param spot whether it is a spot instance, which the cloud may terminate at short notice
 */
public record MachineIdentity(String name, MachineType type, int zone, boolean spot) {}
