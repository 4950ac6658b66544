/**
 * The command line: the controller's options, the users' commands over gRPC and the local cluster.
 * {@link io.kelphoist.cli.Main} is the program's entry point. It must not load classes that a
 * controller does not need, because its start-up is part of the failover time; the classes of the
 * users' commands are loaded only when such a command is run. It owns no state. Only the command
 * {@code lab} uses {@code emulator}, and only the hidden option for the training run uses {@code
 * archive}.
 */
package io.kelphoist.cli;
