package io.kelphoist.daemon;

/** Runs a controller for a moment, so that the build can archive the classes that a start needs. */
final class WarmUp {
    private WarmUp() { }

    static void run() {
    }
}
