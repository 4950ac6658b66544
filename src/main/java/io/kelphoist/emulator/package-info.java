/**
 * Emulators of the external systems (state store, cloud, workers) on loopback ports, for tests and
 * for running a local cluster on one machine. All data is in memory. A controller never loads this
 * package except for the command {@code lab}; the training run for the class archive uses {@link
 * io.kelphoist.emulator.LoopbackPorts}. The emulators implement the external systems' protocols and
 * share no code with the clients except the message encoding. Requests run on worker threads and
 * may block.
 */
package io.kelphoist.emulator;
