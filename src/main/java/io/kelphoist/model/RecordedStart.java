package io.kelphoist.model;

/**
 * The record that a task may run on a machine. It is stored before the start command is sent to the
 * worker.
 */
public record RecordedStart(
        String machineName, String machineType, String zone, boolean spot, TaskRef task) {}
