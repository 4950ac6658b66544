package io.kelphoist.model;

/** Identifies a task by its job and its index in the job. */
public record TaskRef(String jobId, int taskIndex) {}
