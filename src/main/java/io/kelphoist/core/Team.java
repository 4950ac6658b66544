package io.kelphoist.core;

/**
 * A team with what it is guaranteed and the most it may use.
 * A resource that has neither guarantee nor limit does not bind: both are infinite there.
 */
public record Team(String name, Resources guarantee, Resources limit) { }
