/**
 * The controller process: its composition root, its event loop, its HTTP routes and its metrics.
 *
 * <p>{@code ControllerFactory} creates and connects the components of a controller, {@code
 * Controller} starts and ticks them, and {@code ControllerProcess} owns the sockets and threads
 * around them. The state of jobs, machines and leadership belongs to other packages. Only the
 * command line, local clusters and the training run of the class archive may depend on this
 * package.
 *
 * <p>All code runs on the event loop, with two exceptions: {@code ControllerProcess} is called from
 * outside the event loop, and {@code JobEventFeed} and its components state which of their methods
 * run on other threads.
 */
package io.kelphoist.controller;
