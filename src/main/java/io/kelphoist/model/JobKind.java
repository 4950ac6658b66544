package io.kelphoist.model;

/** Kind of a job: how its tasks depend on each other and when they end. */
public enum JobKind {
    /** Independent tasks. */
    ARRAY,
    /** Tasks that start together, run together and are done together. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
