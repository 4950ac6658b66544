package io.kelphoist.model;

/**
 * The record that a task may be running on a machine, or may soon be started there. It is stored
 * before the start command is sent to the worker.
 */
public record RecordedStart(
        String machineName, String machineType, String zone, boolean spot, TaskRef task) {}
