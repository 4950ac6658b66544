package io.kelphoist.model;

/**
 * The team and the class of a job, which determine who may read the job. Also kept for jobs that
 * have ended.
 */
public record JobOwner(String team, String jobClass) {}
