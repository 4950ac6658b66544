/**
 * Emulators of the external systems (state store, cloud, workers) on loopback ports, for tests and
 * for running a local cluster on one machine. All data is in memory. Only the command {@code lab}
 * and tests use the emulators; the training run for the class archive uses only {@link
 * io.kelphoist.emulator.LoopbackPorts}. A controller that runs on its own loads nothing of this
 * package. The emulators implement the external systems' protocols and share no code with the
 * clients except the message encoding. Requests run on worker threads and may block.
 */
package io.kelphoist.emulator;
