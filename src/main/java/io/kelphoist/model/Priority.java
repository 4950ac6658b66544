package io.kelphoist.model;

/**
 * Priority of a job. Declared from lowest to highest: priorities are compared by declaration order.
 */
public enum Priority {
    LOW,
    NORMAL,
    HIGH,
    PRODUCTION
}
